"""The server side of a connection reports complete requests or one rejection, however the input is split into reads."""

from __future__ import annotations

import gc
import sys
import weakref
from collections.abc import Callable
from typing import Any

import pytest

from pearhill.http1.client import ClientConnection
from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import Event, Rejected, ServerConnection

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
BLOCK = b"x" * 8192
BLANK_LINES = b"\r\n" * 4096
SMALL_CHUNKS = b"1\r\nx\r\n" * 9_000  # more than 32 KiB of framing


def feed_all(connection: ServerConnection, parts: list[bytes]) -> list[Event]:
    return [event for part in parts for event in connection.feed(part)]


@pytest.mark.parametrize("size", [1, 2, 7, len(REQUEST), 2 * len(REQUEST)])
def test_requests_parse_the_same_however_reads_split_them(size: int) -> None:
    stream = REQUEST * 2
    events = feed_all(ServerConnection(), [stream[at : at + size] for at in range(0, len(stream), size)])
    requests = [event for event in events if isinstance(event, RequestMessage)]
    assert [(request.method, request.target, request.body, request.keep_alive) for request in requests] == [
        ("POST", "/a?b=1", b"abcd", True)
    ] * 2


def test_a_body_past_the_bound_is_rejected_and_nothing_is_accepted_after_it() -> None:
    connection = ServerConnection(max_body=4)
    assert connection.feed(HEAD + b"Content-Length: 5\r\n\r\n") == [Rejected(413, "the body is too large")]
    assert connection.feed(REQUEST) == []


def test_a_chunked_body_past_the_bound_is_rejected() -> None:
    (rejected,) = ServerConnection(max_body=3).feed(REQUEST)
    assert isinstance(rejected, Rejected)
    assert rejected.status == 413


@pytest.mark.parametrize(
    "header",
    [
        b"Transfer-Encoding: gzip",
        b"Transfer-Encoding: chunked, chunked",
        b"Transfer-Encoding: identity",
        b"Host: y",
        b"Content-Length: -1",
        b"Content-Length: +1",
        b"Content-Length: 1\r\nContent-Length: 1\r\nA: b",
        b"Upgrade: h2c\r\nConnection: upgrade",
    ],
)
def test_a_request_with_ambiguous_framing_is_rejected(header: bytes) -> None:
    (rejected,) = ServerConnection().feed(HEAD + header + b"\r\n\r\n")
    assert isinstance(rejected, Rejected)
    assert rejected.status == 400


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (HEAD + b"A: ", BLOCK),
        (HEAD, BLOCK),
        (b"GET /", BLOCK),
        (CHUNKED + b"1;a=", BLOCK),
        (CHUNKED + b"0\r\nA: ", BLOCK),
        (CHUNKED + SMALL_CHUNKS + b"0\r\nA: ", BLOCK),
        (CHUNKED, (b"1;a=" + b"x" * 500 + b"\r\nx\r\n") * 16),
        (b"", BLANK_LINES),
    ],
)
def test_endless_input_is_rejected_while_it_is_being_received(start: bytes, more: bytes) -> None:
    events: list[Any] = feed_all(ServerConnection(), [start] + [more] * 6)
    assert [event.status for event in events] == [431]


def test_a_large_body_in_small_pieces_does_not_count_as_head() -> None:
    parts = [HEAD + b"Content-Length: 200000\r\n\r\n", *[b"x" * 1000] * 200] * 2
    requests: list[Any] = feed_all(ServerConnection(), parts)
    assert [len(request.body) for request in requests] == [200_000] * 2


@pytest.mark.parametrize("read_size", [1, 7, 65_536])
def test_a_body_in_small_chunks_does_not_count_as_head(read_size: int) -> None:
    """The cause of review/3 on the other side: such a body was rejected with 431 after 32 KiB of its chunks' sizes."""
    stream = (CHUNKED + SMALL_CHUNKS + b"0\r\n\r\n") * 2
    requests: list[Any] = feed_all(
        ServerConnection(), [stream[at : at + read_size] for at in range(0, len(stream), read_size)]
    )
    assert [request.body for request in requests] == [b"x" * 9_000] * 2


def test_a_repeated_header_becomes_a_list_and_a_trailer_is_ignored() -> None:
    head = HEAD + b"Transfer-Encoding: chunked\r\nA: 1\r\na: 2\r\n\r\n"
    (request,) = ServerConnection().feed(head + b"0\r\nB: 3\r\n\r\n")
    assert isinstance(request, RequestMessage)
    assert request.headers["a"] == "1, 2"
    assert "b" not in request.headers


def test_rejected_input_is_released_at_once() -> None:
    """The connection object outlives the call and must not keep its callers' frames alive."""
    connection = ServerConnection()

    class Buffer:
        pass

    def read() -> weakref.ref[Buffer]:
        buffer = Buffer()
        connection.feed(HEAD + b"Content-Length: 999999\r\n\r\n")
        return weakref.ref(buffer)

    assert read()() is None


def test_no_reference_to_a_reported_request_is_kept() -> None:
    connection = ServerConnection()
    (request,) = connection.feed(REQUEST)
    assert sys.getrefcount(request) == 2  # this name and the call's argument; the body is freed with the response


def server_after_a_request() -> ServerConnection:
    connection = ServerConnection()
    connection.feed(REQUEST)
    return connection


@pytest.mark.parametrize("open_connection", [server_after_a_request, ClientConnection])
def test_a_closed_connection_is_freed_without_the_collector(
    open_connection: Callable[[], ServerConnection | ClientConnection],
) -> None:
    connection = open_connection()
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        reference = weakref.ref(connection)
        connection.close()
        del connection
        assert reference() is None
    finally:
        if was_enabled:
            gc.enable()
