"""Which source of the others' loads is used: the aggregators' sums or the gossip."""

from typing import Any

import pytest

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US


class StubSource:
    """A reporter or a gossip protocol in a given state."""

    def __init__(self, count: int | None, load: float, sure: float, age_s: float | None = 0.1) -> None:
        self.told, self._count, self.age_s = PeerLoadEstimate(0.0, load, sure), count, age_s

    def count(self, now: int) -> int | None:
        return self._count

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        return self.told

    def figures(self, now: int) -> dict[str, Any]:
        return {"age_s": self.age_s}


GONE = MAX_SUMS_AGE_US / 1e6


@pytest.mark.parametrize(
    ("sums", "talk", "count", "in_use", "load"),
    [
        pytest.param(None, None, None, "", 0.0, id="neither"),
        pytest.param(None, StubSource(4, 7, 0.5), 4, "talk", 7, id="the talk alone"),
        pytest.param(StubSource(4, 9, 0.9), None, 4, "sums", 9, id="sums alone"),
        pytest.param(StubSource(4, 9, 0.0, GONE), None, 4, "", 9, id="sums alone, and old"),
        pytest.param(StubSource(None, 0, 0.0, None), None, None, "", 0, id="nobody has told yet"),
        pytest.param(
            StubSource(None, 0, 0.0, None), StubSource(4, 7, 0.5), 4, "talk", 7, id="nobody has told yet, the talk has"
        ),
        pytest.param(StubSource(4, 9, 0.9), StubSource(4, 7, 0.5), 4, "sums", 9, id="all on both"),
        pytest.param(StubSource(4, 9, 0.9), StubSource(2, 7, 0.5), 4, "sums", 9, id="some no longer talk"),
        pytest.param(StubSource(3, 9, 0.9), StubSource(4, 7, 0.5), 4, "talk", 7, id="some talk only"),
        pytest.param(StubSource(4, 9, 0.0, GONE), StubSource(2, 7, 0.5), 4, "talk", 7, id="the aggregators are gone"),
    ],
)
def test_sums_are_used_while_they_count_all_that_gossip_else_the_gossip(
    sums: Any, talk: Any, count: int | None, in_use: str, load: float
) -> None:
    sources = CombinedLoadSource()
    sources.reporter, sources.gossip = sums, talk
    assert (sources.count(0), sources.active_source(0)) == (count, in_use)
    assert sources.estimate_peer_load(0, 1, 0, 0).total_tokens == load
