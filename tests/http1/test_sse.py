"""The parser returns the same events however the input is split into reads, and on its fast and its general path."""

from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.http1.sse import EventParser, EventStreamError, ServerEvent

LINES = st.sampled_from(
    [
        b"data: a",
        b"data:b",
        b"data",
        b"data: \xc3\xa9",
        b": hi",
        b"event: x",
        b"id: 1",
        b"retry: 5",
        b"data: {}",
        b"data: [DONE]",
        b"nonsense",
    ]
)
EncodedEvents = list[tuple[list[bytes], bytes]]  # lines and their line ending
EVENTS = st.lists(st.tuples(st.lists(LINES, max_size=3), st.sampled_from([b"\n", b"\r\n", b"\r"])), max_size=8)


def encode(events: EncodedEvents) -> bytes:
    return b"".join(b"".join(line + end for line in lines) + end for lines, end in events)


def parse(parts: Iterable[bytes]) -> list[ServerEvent]:
    return feed_all(EventParser(), parts)


def feed_all(parser: EventParser, parts: Iterable[bytes]) -> list[ServerEvent]:
    return [event for part in parts for event in parser.feed(part)]


def contents(events: list[ServerEvent]) -> list[tuple[bytes | None, str]]:
    return [(event.data, event.name) for event in events]


@given(EVENTS, st.lists(st.integers(0, 200), max_size=12), st.booleans())
def test_events_do_not_depend_on_where_reads_end(
    events: EncodedEvents, read_ends: list[int], with_byte_order_mark: bool
) -> None:
    byte_order_mark = b"\xef\xbb\xbf" if with_byte_order_mark else b""
    stream = byte_order_mark + encode(events) + b"data: end\n\n"
    bounds = sorted({0, len(stream), *(read_end for read_end in read_ends if read_end < len(stream))})
    in_one_read = parse([stream])
    in_parts = parse([stream[start:end] for start, end in zip(bounds, bounds[1:], strict=False)])
    in_bytes = parse([stream[at : at + 1] for at in range(len(stream))])
    assert contents(in_one_read) == contents(in_parts)
    assert contents(in_one_read) == contents(in_bytes)
    for parsed in (in_one_read, in_parts, in_bytes):
        assert b"".join(event.raw for event in parsed) == stream
    assert in_one_read[-1].data == b"end"


@given(st.lists(st.binary(min_size=1, max_size=20).filter(lambda b: not set(b) & set(b"\r\n")), min_size=1))
def test_plain_events_parse_as_they_do_line_by_line(values: list[bytes]) -> None:
    stream = b"".join(b"data: %b\n\n" % value for value in values)
    by_lines = [stream[:-1], stream[-1:]]
    try:
        plain = parse([stream])
    except EventStreamError:
        with pytest.raises(EventStreamError):
            parse(by_lines)
        return
    assert plain == parse(by_lines)


@pytest.mark.parametrize("size", [1, 7, 38])
def test_an_event_past_the_bound_is_rejected_wherever_reads_end(size: int) -> None:
    stream = b"data: " + b"x" * 30 + b"\n\n"
    assert len(stream) == 38
    parser = EventParser(max_size=20)
    reads = [stream[at : at + size] for at in range(0, len(stream), size)]
    with pytest.raises(EventStreamError):
        feed_all(parser, reads)


def test_raw_bytes_of_events_are_kept_however_reads_split_them() -> None:
    stream = b": hi\n\ndata: a\ndata: b\r\n\r\nevent: x\rdata:c\r\rid: 1\n\n"
    expected = [(None, "message"), (b"a\nb", "message"), (b"c", "x"), (None, "message")]
    for size in range(1, len(stream) + 1):
        events = parse([stream[at : at + size] for at in range(0, len(stream), size)])
        assert contents(events) == expected
        assert b"".join(event.raw for event in events) == stream


def test_an_event_past_the_bound_is_rejected_before_its_end() -> None:
    with pytest.raises(EventStreamError):
        EventParser(max_size=10).feed(b"data: " + b"x" * 10)
