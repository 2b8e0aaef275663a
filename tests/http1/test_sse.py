"""Event streams: whatever the cuts, and whichever way through the parser, the same events come out."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pearhill.http1.sse import BadEvents, EventParser, ServerEvent

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
EVENTS = st.lists(st.tuples(st.lists(LINES, max_size=3), st.sampled_from([b"\n", b"\r\n", b"\r"])), max_size=8)


def written(events) -> bytes:
    return b"".join(b"".join(line + end for line in lines) + end for lines, end in events)


def read(parts) -> list[ServerEvent]:
    parser, got = EventParser(), []
    for part in parts:
        got += parser.feed(part)
    return got


class Events(unittest.TestCase):
    @given(EVENTS, st.lists(st.integers(0, 200), max_size=12), st.booleans())
    def test_cuts_change_nothing(self, events, cuts, marked):
        stream = (b"\xef\xbb\xbf" if marked else b"") + written(events) + b"data: end\n\n"
        at = sorted({0, len(stream), *(cut for cut in cuts if cut < len(stream))})
        parts = [stream[a:b] for a, b in zip(at, at[1:], strict=False)]
        whole, cut, bytewise = read([stream]), read(parts), read([stream[k : k + 1] for k in range(len(stream))])
        self.assertEqual([(e.data, e.name) for e in whole], [(e.data, e.name) for e in cut])
        self.assertEqual([(e.data, e.name) for e in whole], [(e.data, e.name) for e in bytewise])
        for got in (whole, cut, bytewise):
            self.assertEqual(b"".join(e.raw for e in got), stream)
        self.assertEqual(whole[-1].data, b"end")

    @given(st.lists(st.binary(min_size=1, max_size=20).filter(lambda b: not set(b) & set(b"\r\n")), min_size=1))
    def test_the_short_way_is_the_long_way(self, values):
        stream = b"".join(b"data: %b\n\n" % value for value in values)
        try:
            short = read([stream])
        except BadEvents:
            with self.assertRaises(BadEvents):
                read([stream[:-1], stream[-1:]])
            return
        self.assertEqual(short, read([stream[:-1], stream[-1:]]))

    def test_an_event_past_the_bound_is_refused_wherever_reads_end(self):
        stream = b"data: " + b"x" * 30 + b"\n\n"
        for size in (1, 7, len(stream)):
            parser = EventParser(most=20)
            with self.subTest(size=size), self.assertRaises(BadEvents):
                for at in range(0, len(stream), size):
                    parser.feed(stream[at : at + size])
