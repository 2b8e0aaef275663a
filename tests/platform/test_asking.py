"""Forty dispatchers and one discovery: what their calls look like from the other side."""

import heapq
import random

import pytest

from pearhill.platform.asking import LATE, LEAST, SHARE, WAIT, Asking
from tests.standins import SETTINGS, Discovery, Standin, platform

S = 1_000_000
GRACE = 250_000


def fleet(count: int, seed: int) -> list[Asking]:
    return [Asking(True, count, GRACE, random.Random(seed * 1000 + n)) for n in range(count)]


def test_a_service_that_answers_nobody_for_twenty_seconds_is_not_buried_and_not_asked_in_step():
    """Forty that come back every 100 ms call it 8,000 times, and all at once when it is up again."""
    asking, calls = fleet(40, 6), list[int]()
    due = [(a.first(), n) for n, a in enumerate(asking)]
    heapq.heapify(due)
    while due[0][0] < 40 * S:
        now, n = heapq.heappop(due)
        calls.append(now)
        heapq.heappush(due, (now + asking[n].failed(), n))
    assert sum(at < 20 * S for at in calls) < 160
    assert max(sum(at <= other < at + S // 5 for other in calls) for at in calls) <= 8


def test_calls_are_not_in_step_and_never_further_apart_than_the_bound():
    firsts = sorted(a.first() for a in fleet(40, 1))
    assert max(sum(at <= other < at + S for other in firsts) for at in firsts) <= 16
    one = Asking(True, 40, GRACE, random.Random(4))
    waits = [one.failed() for _ in range(60)]
    assert min(waits) >= LEAST and 10 * S < max(waits) <= 20 * S + LEAST
    one.answered()
    assert one.failed() <= 2 * 40 * SHARE + LEAST


@pytest.mark.parametrize("grace", [1_000, 250_000, 500_000, 1_000_000])
@pytest.mark.parametrize("shared", [False, True])
def test_what_a_silent_watch_misses_is_asked_for_before_it_counts_as_told(shared: bool, grace: int):
    """FLEET.md: told 6 s after the silence began, or 2 s after the call's wait is over, whichever is later. At a shared
    service the new call may stand 2 s in line."""
    one = Asking(shared, 200, grace, random.Random(5))
    wait = one.wait(True)
    told = max(6 * S, wait + 2 * S)  # silent from the call's first moment on
    noticed = one.unanswered(wait) or one.patience(wait)
    assert wait + LATE <= noticed <= wait + S
    answered = noticed + (one.failed(watched=True) + 2 * S if shared else S // 10)
    assert answered < told


@pytest.mark.parametrize("grace", [250_000, 500_000, 1_000_000])
def test_a_silent_agent_that_comes_back_with_news_is_heard_well_within_the_grace(grace: int):
    """Whether it answers what it was asked while it was silent, or only what it is asked from then on."""
    one = Asking(False, 200, grace, random.Random(5))
    assert one.wait(True) == WAIT and one.first() == 0
    assert one.failed(watched=True) == 0  # a connection that was reset: at once, for the agent has news all the while
    for _ in range(200):
        assert one.wait(True) == 0  # one that may wait would not show that it is back
        assert one.unanswered(0) <= grace // 5 and one.failed() <= grace // 5
        assert one.patience(0) > 500_000  # a slow answer is not given up for the next call
    one.answered()
    assert one.wait(True) == WAIT


def test_a_reload_that_makes_discovery_shared_spreads_the_calls_from_then_on():
    one = Asking(False, 1, GRACE, random.Random(7))
    one.reconfigure(True, 40, GRACE)
    assert max(one.first() for _ in range(50)) > 20 * SHARE
    assert max(one.failed() for _ in range(20)) > 10 * S


KNOWN = {"az": "north", "model": "all-in-one", "pod_group": 1, "state": "active", "capacity_hint": 1.0, "boot_ms": 0}


def started(discovery: Discovery, server: Standin):
    return platform(discovery.address, settings={**SETTINGS, "discovery": "on_request", "n-instances": 2},
                    known=[{"uid": "s-0", "endpoint": server.address, **KNOWN}])


def test_the_daemon_asks_a_shared_discovery_for_what_changed_since_the_list_it_knows():
    server, discovery = Standin(), Discovery(("s-0", "127.0.0.1:1", "all-in-one"))
    program = started(discovery, server)
    try:
        discovery.wait_for("GET", "/v1/endpoints?after=0")
        discovery.wait_for("GET", "/v1/endpoints?after=1")
        assert ("GET", "/v1/endpoints") not in discovery.calls
    finally:
        for thing in (program.kill, discovery.close, server.close):
            thing()


def test_a_discovery_that_counts_anew_is_asked_for_its_whole_list():
    """An older revision, a failure and nonsense: each is told in one line, and the next good list is in force."""
    server, discovery = Standin(), Discovery()
    discovery.rev = 7
    answers = [(503, b""), (200, b"[]"), (200, b'{"rev": 9, "all": false, "targets": []}'),
               (200, b'{"rev": 2, "all": false, "targets": []}')]
    whole = Discovery.respond

    def respond(handler, body):
        handler.plain(*answers.pop(0)) if answers else whole(discovery, handler, body)

    discovery.respond = respond
    discovery.targets = [("s-1", server.address, "all-in-one")]
    program = started(discovery, server)
    try:
        program.wait_line("status 503")
        program.wait_line("no answer to .*after=0.*TypeError")
        program.wait_line("no answer to .*after=9.*version 2 after 9")
        discovery.wait_for("GET", "/v1/endpoints?after=7")
        assert ("GET", "/v1/endpoints") in discovery.calls
        program.wait_ready()
        assert program.counters()["lists"] >= 2
    finally:
        for thing in (program.kill, discovery.close, server.close):
            thing()
