"""The router decides well whether a dispatcher sees most of the traffic or one request in two hundred.

Many seeded routers share one stream of requests, or one router runs for long while replicas come and go.
"""

import gc
import random
import sys
import weakref
from dataclasses import replace

import pytest

from pearhill.routing.actions import RejectRequest, SendAttempt
from pearhill.routing.events import EndpointsUpdated, ReportedLoad, RequestArrived
from pearhill.routing.local_prefill import INITIAL_RATIO
from pearhill.routing.outcomes import Outcome
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.topology import Endpoint, Phase, Role
from tests.driver import CLASS, FLEET, RouterDriver, S, endpoint, of_type, settings


def nodes(count: int, fleet: tuple[Endpoint, ...] = FLEET) -> list[RouterDriver]:
    return [RouterDriver(settings(instances=count), fleet, seed=n) for n in range(count)]


@pytest.mark.parametrize("count", [2, 200])
def test_an_idle_fleet_is_never_refused_or_taken_for_full_after_one_request(count):
    for d in nodes(count)[:20]:
        d.serve(d.arrive(prompt_tokens=5000, session=1)[0])
        assert all(d.router.loads.memory_utilization(d.router.now, e, 5000) < 0.2 for e in d.router.replicas.values())
        r, out = d.arrive(prompt_tokens=5000, session=2)
        assert r in d.sent
        assert not of_type(RejectRequest, out)


@pytest.mark.parametrize("count", [2, 200])
def test_a_kept_prompt_is_still_believed_after_one_send(count):
    d = nodes(count)[0]
    r, _ = d.arrive(prompt_tokens=5000, session=7)
    e = d.router.replicas[d.sent[r].replica]
    d.serve(r)
    req = RequestArrived(99, 0, 0, 7, 0, 0, 5400, 100, 4 * S, False, False)
    d.serve(d.arrive(prompt_tokens=5000, session=8)[0])
    assert d.router.affinity.cached_tokens(d.router.now, e, req) == 5000


@pytest.mark.parametrize("count", [2, 200])
def test_all_nodes_together_read_near_the_ratio_at_writers(count):
    rng, fleet = random.Random(5), nodes(count)
    at_writers = total = 0
    for n in range(3000):
        d = fleet[rng.randrange(count)]
        r, _ = d.arrive(prompt_tokens=1000, session=n + 1)
        total += 1000
        at_writers += 1000 * (d.sent[r].replica > 10)
        d.serve(r)
    assert 0.6 * INITIAL_RATIO * total < at_writers <= INITIAL_RATIO * total


@pytest.mark.parametrize("count", [2, 200])
def test_all_nodes_together_keep_below_a_cold_readers_bound_and_do_not_starve_it(count):
    rng, fleet, sent = random.Random(6), nodes(count), 0
    start = fleet[0].now
    served = 0
    for n in range(9000):  # 100 requests a second for 90 s; one prefill replica restarts at 60 s
        at = start + n * 10_000
        d = fleet[rng.randrange(count)]
        d.wait(max(0, at - d.now))
        if n == 6000:
            for each in fleet:
                each.wait(max(0, at - each.now))
                each.feed(EndpointsUpdated(False, (endpoint(3, 0, cell=1, started_at=at),)))
        r, _ = d.arrive(prompt_tokens=3000, session=n + 1)
        if r in d.sent:
            served += d.sent[r].replica < 11
            sent += n >= 6000 and d.sent[r].replica == 3 and at < start + 61 * S + 3 * S
            d.serve(r)
    # In four seconds. A warm prefill replica gets a sixth of all prefills; the warming-up one may get 2.5 times a
    # quarter of that.
    share = served / 90 / 6
    assert 1 <= sent <= 4 * 2.5 * 0.25 * share * 1.4


@pytest.mark.parametrize("count", [2, 200])
def test_a_caught_request_still_has_time_for_a_second_attempt(count):
    for d in nodes(count)[:10]:
        for n in range(3):
            d.serve(d.arrive(prompt_tokens=3000, session=n + 1)[0])
        _, out = d.arrive(prompt_tokens=3000, session=99)
        # The latency objective is 1.12 s; a prefill takes 50 ms.
        assert of_type(SendAttempt, out)[0].attempt_timeout <= 0.6 * S


READERS = tuple(endpoint(n, 0, cell=n % 2) for n in range(1, 11)) + FLEET[6:]


def crowd(share: float, count: int = 20, seed: int = 3) -> tuple[list[RouterDriver], random.Random]:
    """Return routers that have each seen some 60 requests, of which this share has prefix 5.

    The other requests have one of 200 other prefixes. Returns the random generator as well.
    """
    rng, seen = (
        random.Random(seed),
        [RouterDriver(settings(instances=count, local_prefill=False), READERS, seed=n) for n in range(count)],
    )
    for _ in range(60 * count):
        d, prefix = rng.choice(seen), 5 if rng.random() < share else rng.randrange(100, 300)
        r, _ = d.arrive(prompt_tokens=5000, session=rng.randrange(1, 1 << 60), prefix=prefix, prefix_tokens=3000)
        d.serve(r, cached_tokens=3000)
        d.now += 200_000
        d.wait(0)
    return seen, rng


def homes(seen: list[RouterDriver], session: int, prefix: int = 5) -> list[int]:
    """Return the replica at which each router has a prompt of this session and prefix prefilled."""
    out = []
    for d in seen:
        r, _ = d.arrive(prompt_tokens=5000, session=session, prefix=prefix, prefix_tokens=3000)
        out.append(d.sent[r].replica)
        d.serve(r, cached_tokens=3000)
    return out


@pytest.mark.parametrize(("share", "least", "most"), [(0.01, 2, 2), (0.2, 3, 6), (0.45, 7, 10)])
def test_the_more_of_all_reading_a_prefix_draws_the_more_readers_share_it(share, least, most):
    seen, rng = crowd(share)
    ask = RequestArrived(0, 0, 0, 1, 5, 3000, 5000, 100, S, False, False)
    assert least <= sum(d.router.affinity.home_count(ask, 10) for d in seen) / len(seen) <= most
    used = {engine for d in seen for engine in homes([d], rng.randrange(1, 1 << 60))}
    assert least <= len(used) <= most


def test_a_session_of_a_favourite_prefix_is_read_at_one_reader_by_nearly_all_nodes():
    seen, rng = crowd(0.3)
    same = [max(map(at.count, at)) / len(at) for at in (homes(seen, rng.randrange(1, 1 << 60)) for _ in range(20))]
    assert sum(same) / len(same) > 0.8  # their counts differ a little: most of a session's homes are the same


def test_a_prefix_said_to_be_longer_than_its_prompt_ends_nothing():
    d = RouterDriver()
    for said in (1_000, 2**31):
        ask = RequestArrived(0, 0, 0, 1, 5, said, 500, 100, S, False, False)
        d.router.affinity.total_load = 10.0 * (said - 1_000)
        assert d.router.affinity.home_count(ask, 10) == 2


def test_a_prefix_that_is_no_favourite_any_more_goes_back_to_its_pair():
    seen, rng = crowd(0.4, count=2)
    for d in seen:
        for _ in range(150):
            r, _ = d.arrive(
                prompt_tokens=5000,
                session=rng.randrange(1, 1 << 60),
                prefix=rng.randrange(100, 300),
                prefix_tokens=3000,
            )
            d.serve(r, cached_tokens=3000)
            d.wait(400_000)
    assert all(
        d.router.affinity.home_count(RequestArrived(0, 0, 0, 1, 5, 3000, 5000, 100, S, False, False), 10) == 2
        for d in seen
    )


def test_without_a_favourite_all_nodes_take_one_reader_for_a_session_and_two_for_a_prefix():
    seen, rng = crowd(0.01)
    taken = [set(homes(seen, rng.randrange(1, 1 << 60))) for _ in range(4)]
    assert all(len(readers) == 1 for readers in taken)
    assert len(set.union(*taken)) == 2


def test_what_was_believed_of_a_jam_fades_while_everything_is_refused():
    d = RouterDriver()
    for n in range(60):
        r, _ = d.arrive(prompt_tokens=5000, session=n + 1)
        if r in d.sent:
            d.serve(r, elapsed=900_000)
    assert of_type(RejectRequest, d.arrive(prompt_tokens=5000, session=98)[1])
    d.wait(30 * S)
    assert of_type(SendAttempt, d.arrive(prompt_tokens=5000, session=99)[1])


def in_flight(d: RouterDriver, count: int, prompt: int = 5000) -> list[int]:
    """Start this many requests, whose states are then to be fetched by a decode replica."""
    out = [d.arrive(prompt_tokens=prompt, session=d.next)[0] for _ in range(count)]
    for r in out:
        d.end(r, Outcome.PREFILLED)
    return out


ONE_WRITER = (endpoint(1, 0), endpoint(2, 0), endpoint(11, 1))


@pytest.mark.parametrize("late", ["timeout", "slow fetch"])
def test_a_late_fetch_bounds_my_work_at_its_writer_and_the_bound_goes_with_the_work(late):
    d = RouterDriver(fleet=ONE_WRITER)
    out = in_flight(d, 4)
    if late == "timeout":
        d.end(out[0], Outcome.TIMEOUT)
    else:
        d.response_started(out[0], elapsed=900_000)
    assert of_type(RejectRequest, d.arrive(prompt_tokens=5000, session=98)[1])
    for r in out[1:]:  # the other attempts there end and nothing is reported: the limit is lifted at once
        d.response_started(r)
        d.end(r, Outcome.ANSWERED, answered=True)
    assert of_type(SendAttempt, d.arrive(prompt_tokens=5000, session=99)[1])


def test_a_bound_grows_back_while_nothing_is_heard_and_for_ever():
    d = RouterDriver(fleet=ONE_WRITER)
    out = in_flight(d, 4)
    d.response_started(out[0], elapsed=900_000)
    e = d.router.replicas[11]
    full = d.router.loads.memory_utilization(d.router.now, e, 0)
    d.router.now += 8 * S
    assert abs(d.router.loads.memory_utilization(d.router.now, e, 0) - full / 2) < 0.01
    d.router.now += 30 * 86_400 * S  # a month: the power of two must not overflow
    assert d.router.loads.memory_utilization(d.router.now, e, 0) < 0.01


def test_with_reports_a_late_fetch_is_remembered_beside_them():
    d = RouterDriver()
    r, _ = d.arrive(prompt_tokens=5000, session=1)
    d.end(r, Outcome.PREFILLED, load=ReportedLoad(0.2, 0.0))
    d.router.loads._kinds[1].memory_used.add(d.now, 0.2)
    full = d.router.replicas[d.sent[r].replica]
    d.end(r, Outcome.TIMEOUT)
    assert d.router.loads.memory_utilization(d.router.now, full, 0) > 0.9
    assert d.sent[r].replica != full.id


def test_a_mixed_server_with_room_writes_late():
    fleet = (endpoint(1, 0), endpoint(2, 0), endpoint(11, 1), endpoint(21, 2))
    d = RouterDriver(settings(local_prefill=False), fleet)
    d.router.loads._kinds[1].memory_used.add(d.now, 0.97)
    d.router.replicas[11].memory_used.add(d.now, 0.97, 4)
    r, _ = d.arrive(prompt_tokens=5000, session=1)
    assert d.sent[r].replica < 3
    d.end(r, Outcome.PREFILLED)
    assert d.sent[r].replica == 21


def test_a_fleet_replaced_in_waves_goes_on_serving_and_leaves_nothing_behind():
    d, refused, total = RouterDriver(), 0, 0
    live = {e.replica: e for e in FLEET}
    fresh = 100
    r, _ = d.arrive(prompt_tokens=3000, session=1)
    reader = d.router.replicas[d.sent[r].replica]
    d.serve(r)
    assert (False, 1) in reader.cached_prefixes
    table = weakref.ref(reader.cached_prefixes)
    del reader
    for wave in range(120):
        for n in range(12):
            r, out = d.arrive(prompt_tokens=3000, session=wave * 20 + n + 1)
            total += 1
            refused += bool(of_type(RejectRequest, out))
            if r in d.sent:
                kind = live[d.sent[r].replica].kind
                if kind == 0:
                    d.end(r, Outcome.PREFILLED)
                if r in d.router.pending:
                    d.response_started(r)
                    d.end(r, Outcome.ANSWERED, answered=True)
            d.wait(300_000)
        if wave < 100:
            old = min(live)
            e = live.pop(old)
            fresh += 1
            live[fresh] = endpoint(fresh, e.kind, cell=e.cell, started_at=d.now)
            d.feed(EndpointsUpdated(False, (endpoint(old, e.kind, phase=Phase.GONE), live[fresh])))
    assert refused < 0.2 * total
    d.wait(700 * S)
    d.serve(d.arrive(prompt_tokens=3000, session=1)[0]) if d.arrive(prompt_tokens=3000, session=1)[
        0
    ] in d.sent else None
    router = d.router
    assert set(router.replicas) == set(live)
    assert len(router.timers) < 10
    gc.collect()
    assert table() is None  # the cache table of an unlisted replica is freed


def test_a_process_that_comes_back_under_its_id_is_not_believed_to_keep_anything():
    d = RouterDriver()
    r, _ = d.arrive(prompt_tokens=5000, session=7)
    d.serve(r)
    home = d.sent[r].replica
    d.feed(EndpointsUpdated(False, (endpoint(home, 1 if home > 10 else 0, phase=Phase.GONE),)))
    d.feed(EndpointsUpdated(False, (endpoint(home, 1 if home > 10 else 0, started_at=d.now),)))
    assert (
        d.router.affinity.cached_tokens(
            d.router.now, d.router.replicas[home], RequestArrived(9, 0, 0, 7, 0, 0, 5400, 9, S, False, False)
        )
        == 0
    )
    assert isinstance(
        PendingRequest(RequestArrived(9, 0, 0, 7, 0, 0, 5400, 9, S, False, False), d.now, d.now), PendingRequest
    )


@pytest.mark.parametrize("count", [2, 200])
def test_under_pressure_over_share_and_least_worth_go_first_and_without_pressure_neither(count):
    dear, cheap = replace(CLASS, priority_weight=2.0), CLASS
    s = replace(settings(instances=count), classes=(dear, cheap), quotas=(2.0 * count,) * 2, over_quota_weight=0.05)

    def ask(d: RouterDriver, n: int, cls: int, tenant: int, rtt: int) -> bool:
        r, out = d.arrive(prompt_tokens=5000, session=n, request_class=cls, tenant=tenant)
        if r in d.sent:
            d.serve(r, elapsed=rtt)
        return bool(of_type(RejectRequest, out))

    calm, jam = RouterDriver(s), RouterDriver(s)
    # Tenant 1 sends five times as many requests as tenant 0.
    assert not any(ask(calm, n, n % 2, n % 6 > 0, 50_000) for n in range(200))
    refused = {(cls, tenant): 0 for cls in (0, 1) for tenant in (0, 1)}
    for n in range(1200):
        cls, tenant = n % 2, int(n % 12 > 1)
        refused[cls, tenant] += ask(jam, n, cls, tenant, 500_000) * (5 if tenant == 0 else 1)
        jam.wait(20_000)
    assert refused[0, 0] < refused[1, 0]
    assert refused[0, 0] < refused[0, 1]


def test_a_choice_among_four_times_the_servers_costs_about_four_times_as_much_and_not_sixteen():
    """The cost is counted in function calls, whose number is the same every time."""

    def calls(servers: int) -> int:
        d = RouterDriver(settings(instances=200), tuple(endpoint(k, k % 2, cell=k // 8) for k in range(1, servers + 1)))
        count = 0

        def counted(frame, event, argument):
            nonlocal count
            count += event == "call" or event == "c_call"

        sys.setprofile(counted)
        try:
            for n in range(20):
                r, _ = d.arrive(prompt_tokens=3000, session=n + 1)
                if d.router.replicas[d.sent[r].replica].role == Role.PREFILL:
                    d.end(r, Outcome.PREFILLED)
                d.response_started(r)
                d.end(r, Outcome.ANSWERED, answered=True)
        finally:
            sys.setprofile(None)
        return count

    assert calls(1024) < 6 * calls(256)


@pytest.mark.parametrize("count", [2, 200])
def test_a_long_prompt_is_taken_where_a_usual_one_is(count):
    """Judged by its own prefill time, a long prompt was rejected even by idle prefill replicas."""
    d = RouterDriver(settings(instances=count))
    for n in range(40):  # a usual prompt is prefilled in 0.4 s; the latency objective is 1.12 s
        r, out = d.arrive(prompt_tokens=3000, session=n + 1)
        if r in d.sent:
            d.serve(r, elapsed=400_000)
        d.wait(500_000)
    for prompt in (3000, 12_000):
        r, out = d.arrive(prompt_tokens=prompt, session=100 + prompt)
        assert not of_type(RejectRequest, out)
        assert r in d.sent
        d.serve(r, elapsed=400_000)


@pytest.mark.parametrize("count", [2, 200])
def test_a_long_prompt_has_room_at_a_bounded_writer_where_a_usual_one_has(count):
    d = RouterDriver(settings(instances=count), ONE_WRITER)
    out = in_flight(d, 6, prompt=3000)
    d.response_started(out[0], elapsed=900_000)  # a late fetch limits the replica to four fifths of its load
    for r in out[1:4]:
        d.response_started(r)
        d.end(r, Outcome.ANSWERED, answered=True)
    taken = [not of_type(RejectRequest, d.arrive(prompt_tokens=prompt, session=prompt)[1]) for prompt in (3000, 9000)]
    assert taken == [True, True]
