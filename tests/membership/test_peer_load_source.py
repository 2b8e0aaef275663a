"""The choice between the aggregators' sums and gossip as the source of the other dispatchers' loads."""

from typing import Any

import pytest

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US


class StubSource:
    """A stub of a reporter or a gossip protocol in a given state."""

    def __init__(self, count: int | None, load: float, confidence: float, age_s: float | None = 0.1) -> None:
        self.estimate, self._count, self.age_s = PeerLoadEstimate(0.0, load, confidence), count, age_s

    def count(self, now: int) -> int | None:
        return self._count

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        return self.estimate

    def figures(self, now: int) -> dict[str, Any]:
        return {"age_s": self.age_s}


EXPIRED_AGE_S = MAX_SUMS_AGE_US / 1e6


@pytest.mark.parametrize(
    ("sums", "gossip", "count", "active_source", "load"),
    [
        pytest.param(None, None, None, "", 0.0, id="neither"),
        pytest.param(None, StubSource(4, 7, 0.5), 4, "talk", 7, id="gossip alone"),
        pytest.param(StubSource(4, 9, 0.9), None, 4, "sums", 9, id="sums alone"),
        pytest.param(StubSource(4, 9, 0.0, EXPIRED_AGE_S), None, 4, "", 9, id="sums alone, too old"),
        pytest.param(StubSource(None, 0, 0.0, None), None, None, "", 0, id="no count yet"),
        pytest.param(StubSource(None, 0, 0.0, None), StubSource(4, 7, 0.5), 4, "talk", 7, id="no sums yet, but gossip"),
        pytest.param(StubSource(4, 9, 0.9), StubSource(4, 7, 0.5), 4, "sums", 9, id="all use both"),
        pytest.param(StubSource(4, 9, 0.9), StubSource(2, 7, 0.5), 4, "sums", 9, id="some no longer gossip"),
        pytest.param(StubSource(3, 9, 0.9), StubSource(4, 7, 0.5), 4, "talk", 7, id="some only gossip"),
        pytest.param(
            StubSource(4, 9, 0.0, EXPIRED_AGE_S), StubSource(2, 7, 0.5), 4, "talk", 7, id="no aggregator answers"
        ),
    ],
)
def test_sums_are_used_while_they_count_all_gossiping_dispatchers_else_gossip(
    sums: Any, gossip: Any, count: int | None, active_source: str, load: float
) -> None:
    sources = CombinedLoadSource()
    sources.reporter, sources.gossip = sums, gossip
    assert (sources.count(0), sources.active_source(0)) == (count, active_source)
    assert sources.estimate_peer_load(0, 1, 0, 0).total_tokens == load
