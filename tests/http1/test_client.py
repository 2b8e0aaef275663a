"""The client side of a connection turns whatever the server sends into the pieces and the end of one response."""

from __future__ import annotations

import pytest

from pearhill.http1.client import ClientConnection, Data, End, Event, Head, Lost

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
BLOCK = b"x" * 8192
SMALL_BODY = b"x" * 9_000
SMALL_CHUNKS = b"1\r\nx\r\n" * 9_000  # more than 32 KiB of framing
INTERIM_ANSWERS = b"HTTP/1.1 100 Continue\r\n\r\n" * 400


@pytest.fixture
def connection() -> ClientConnection:
    """A connection that expects the response to its first request."""
    connection = ClientConnection()
    connection.expect()
    return connection


def feed_all(connection: ClientConnection, parts: list[bytes]) -> list[Event]:
    return [event for part in parts for event in connection.feed(part)]


@pytest.mark.parametrize(
    ("start", "more"),
    [(b"HTTP/1.1 200 OK\r\nA: ", BLOCK), (b"HTTP/1.1 200 ", BLOCK), (b"", INTERIM_ANSWERS)],
)
def test_an_endless_head_is_rejected_while_it_is_being_received(
    connection: ClientConnection, start: bytes, more: bytes
) -> None:
    events = feed_all(connection, [start] + [more] * 6)
    assert not connection.awaiting
    assert [type(event) for event in events if event != Lost("unasked")] == [Lost]


@pytest.mark.parametrize(
    "bad_chunk",
    [
        b"3\r\nhello\r\n",
        b"9\r\nhello\r\n0\r\n\r\n",
        b"g\r\n",
        b"-5\r\nhello\r\n",
        b"BFFFFFFF\r\n" + b"x" * 300_000,
    ],
    ids=["too-short", "too-long", "no-number", "negative", "endless"],
)
def test_a_chunk_is_reported_only_after_its_size_is_verified(connection: ClientConnection, bad_chunk: bytes) -> None:
    events = feed_all(connection, [CHUNKED + b"2\r\nhi\r\n", bad_chunk])
    assert [type(event) for event in events] == [Head, Data, Lost]


@pytest.mark.parametrize(("more", "reusable"), [(b"", True), (ANSWER, False), (b"noise", False)])
def test_bytes_after_a_response_make_its_connection_unusable(
    connection: ClientConnection, more: bytes, reusable: bool
) -> None:
    events = connection.feed(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ANSWER + more)
    assert events == [Head(200, {"content-length": "2"}), Data(b"hi"), End(reusable, not more)]


def test_bytes_without_a_request_are_an_error() -> None:
    assert ClientConnection().feed(b"HTTP/1.1 200 OK\r\n") == [Lost("unasked")]


def test_consecutive_responses_are_reported_in_pieces() -> None:
    connection = ClientConnection()
    for _ in range(2):
        connection.expect()
        events = connection.feed(b"HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
        assert events == [Head(200, {"a": "b", "transfer-encoding": "chunked"}), Data(b"hi")]
        assert connection.feed(b"0\r\n\r\n") == [End(True)]


def test_the_end_of_a_connection_is_reported_once(connection: ClientConnection) -> None:
    connection.feed(ANSWER)
    connection.expect()
    assert connection.eof() == [Lost("eof")]
    assert connection.eof() == []


@pytest.mark.parametrize("read_size", [1, 7, 8192])
def test_a_stream_in_small_chunks_is_reported_to_its_end(connection: ClientConnection, read_size: int) -> None:
    """Guards against review/3: the size lines of all chunks together counted as an endless head, and a stream was lost
    after 32 KiB of them."""
    stream = CHUNKED + SMALL_CHUNKS + b"0\r\n\r\n"
    events = feed_all(connection, [stream[at : at + read_size] for at in range(0, len(stream), read_size)])
    assert b"".join(event.data for event in events if isinstance(event, Data)) == SMALL_BODY
    assert events[-1] == End(True)


@pytest.mark.parametrize("read_size", [7, 8192])
def test_a_stream_whose_chunks_have_extensions_is_reported_to_its_end(
    connection: ClientConnection, read_size: int
) -> None:
    """The extensions of all chunks together counted as an endless head too (RFC 9112, 7.1.1: they are ignored)."""
    stream = CHUNKED + (b"1;signature=" + b"5" * 80 + b"\r\nx\r\n") * 1_000 + b"0\r\n\r\n"
    events = feed_all(connection, [stream[at : at + read_size] for at in range(0, len(stream), read_size)])
    assert b"".join(event.data for event in events if isinstance(event, Data)) == b"x" * 1_000
    assert events[-1] == End(True)


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"1;a=", BLOCK),
        (b"0\r\nA: ", BLOCK),
        (SMALL_CHUNKS + b"0\r\nA: ", BLOCK),
        (SMALL_CHUNKS + b"1;a=", BLOCK),
    ],
    ids=["extension", "trailer", "trailer-after-small-chunks", "extension-after-small-chunks"],
)
def test_endless_framing_is_rejected_while_it_is_being_received(
    connection: ClientConnection, start: bytes, more: bytes
) -> None:
    events = feed_all(connection, [CHUNKED, start] + [more] * 80)
    assert not connection.awaiting
    assert [type(event) for event in events if event != Lost("unasked") and type(event) is not Data] == [Head, Lost]
