"""The effect of operators' overrides on the endpoints, without I/O."""

from dataclasses import replace

from pearhill.lifecycle.endpoint_overrides import EndpointOverrides
from pearhill.lifecycle.overrides import RETENTION_US, OperatorOverrides
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import S, endpoint


def phases(entries: tuple[Endpoint, ...]) -> dict[int, str]:
    return {e.replica: e.phase for e in entries}


def test_a_replica_that_is_down_is_draining_whatever_the_list_says() -> None:
    overrides = OperatorOverrides()
    endpoints = EndpointOverrides(overrides)
    assert phases(endpoints.update(True, (endpoint(1, 0), endpoint(2, 1)))) == {1: Phase.READY, 2: Phase.READY}
    overrides.set_down(1, 10 * S, True)
    assert phases(endpoints.reapply({1})) == {1: Phase.DRAINING}
    for full in (False, True):
        assert phases(endpoints.update(full, (endpoint(1, 0), endpoint(2, 1)))) == {1: Phase.DRAINING, 2: Phase.READY}
    endpoints.update(False, (endpoint(1, 0, phase=Phase.GONE),))
    assert endpoints.is_known(1)
    assert endpoints.reapply({1}) == ()  # no longer listed, but still down
    moved = replace(endpoint(1, 0), started_at=11 * S, cell=5)
    assert phases(endpoints.update(False, (moved,))) == {1: Phase.DRAINING}
    overrides.set_down(1, 12 * S, False)
    assert endpoints.reapply({1}) == (moved,)  # the list reported the new start
    endpoints.update(True, ())
    assert not endpoints.is_known(1)


def test_a_restored_replica_is_warming_up_until_the_list_reports_its_start() -> None:
    overrides = OperatorOverrides()
    endpoints = EndpointOverrides(overrides)
    endpoints.update(True, (endpoint(1, 0, started_at=3 * S),))
    overrides.set_down(1, 10 * S, True)
    overrides.set_down(1, 20 * S, False)
    assert endpoints.reapply({1})[0].started_at == 20 * S  # it did not warm up while it was down
    for start in (14 * S, 25 * S):
        assert endpoints.update(False, (endpoint(1, 0, started_at=start),))[0].started_at == start
    overrides.delete_expired(20 * S + RETENTION_US + 1)
    assert overrides.down == {}
