"""Which source of the others' loads is used: the aggregators' sums or the gossip."""

import unittest
from typing import Any

from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US


class StubSource:
    """A reporter or a gossip protocol in a given state."""

    def __init__(self, count: int | None, load: float, sure: float, age_s: float | None = 0.1) -> None:
        self.told, self._count, self.age_s = (0.0, load, sure), count, age_s

    def count(self, now: int) -> int | None:
        return self._count

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        return self.told

    def figures(self, now: int) -> dict[str, Any]:
        return {"age_s": self.age_s}


class TestCombinedLoadSource(unittest.TestCase):
    def test_sums_are_used_while_they_count_all_that_gossip_else_the_gossip(self):
        gone = MAX_SUMS_AGE_US / 1e6
        for what, sums, talk, count, in_use, load in (
            ("neither", None, None, None, "", 0.0),
            ("the talk alone", None, StubSource(4, 7, 0.5), 4, "talk", 7),
            ("sums alone", StubSource(4, 9, 0.9), None, 4, "sums", 9),
            ("sums alone, and old", StubSource(4, 9, 0.0, gone), None, 4, "", 9),
            ("nobody has told yet", StubSource(None, 0, 0.0, None), None, None, "", 0),
            ("nobody has told yet, the talk has", StubSource(None, 0, 0.0, None), StubSource(4, 7, 0.5), 4, "talk", 7),
            ("all on both", StubSource(4, 9, 0.9), StubSource(4, 7, 0.5), 4, "sums", 9),
            ("some no longer talk", StubSource(4, 9, 0.9), StubSource(2, 7, 0.5), 4, "sums", 9),
            ("some talk only", StubSource(3, 9, 0.9), StubSource(4, 7, 0.5), 4, "talk", 7),
            ("the aggregators are gone", StubSource(4, 9, 0.0, gone), StubSource(2, 7, 0.5), 4, "talk", 7),
        ):
            with self.subTest(what):
                sources = CombinedLoadSource()
                sources.reporter, sources.gossip = sums, talk  # type: ignore[assignment]
                self.assertEqual((sources.count(0), sources.in_use(0)), (count, in_use))
                self.assertEqual(sources.others(0, 1, 0, 0)[1], load)
