"""The router's usual path: local prefills, prefix affinity, decode replicas and mixed replicas."""

from dataclasses import replace

from pearhill.routing.actions import RejectRequest, SendAttempt
from pearhill.routing.events import EndpointsUpdated, RequestArrived
from pearhill.routing.local_prefill import INITIAL_RATIO, MAX_RATIO
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.topology import Phase, Role
from tests.driver import FLEET, SETTINGS, RouterDriver, S, endpoint, of_type, settings


def read_for(d, share, prompt=3000):
    """Prefill prompts for one step of the ratio, each within this share of the latency objective."""
    aim = 1 * S + 40 * prompt
    for n in range(6):
        r, _ = d.arrive(prompt_tokens=prompt, session=900 + n)
        if d.sent[r].replica > 10:
            d.serve(r)
            continue
        d.end(r, Outcome.PREFILLED, elapsed=int(share * aim))
        d.response_started(r)
        d.end(r, Outcome.ANSWERED, answered=True)
    d.wait(2 * S)


def test_ratio_starts_as_designed_and_falls_to_zero_while_reads_are_fast():
    d = RouterDriver()
    assert d.router.local_prefill.ratio == INITIAL_RATIO
    for _ in range(4):
        read_for(d, 0.05)
    assert d.router.local_prefill.ratio == 0


def test_ratio_rises_to_its_bound_while_reads_are_slow_and_stays_in_between():
    d = RouterDriver()
    read_for(d, 0.4)
    assert d.router.local_prefill.ratio == INITIAL_RATIO
    d.router.local_prefill.latency_share.add(
        d.now, 0.9, 100.0
    )  # load is shed from half the objective on, so few prefills are slower
    for _ in range(4):
        d.router.local_prefill.latency_share.add(d.now, 0.9, 100.0)
        d.wait(2 * S)
    assert d.router.local_prefill.ratio == MAX_RATIO


def test_reads_still_out_count_towards_the_ratio():
    d = RouterDriver()
    d.arrive(prompt_tokens=5000, timeout=20 * S)
    d.wait(2 * S)
    assert d.router.local_prefill.ratio > INITIAL_RATIO


def test_short_prompts_are_read_at_writers_up_to_the_cap():
    d = RouterDriver()
    at_writers = total = 0
    for n in range(100):
        r, _ = d.arrive(prompt_tokens=1000, session=n + 1)
        total += 1000
        at_writers += 1000 * (d.sent[r].replica >= 11)
        assert at_writers <= INITIAL_RATIO * total
        d.serve(r)
    assert at_writers > 0.1 * total


def test_long_uncached_prompts_go_to_readers():
    d = RouterDriver()
    for n in range(1, 20):
        r, _ = d.arrive(prompt_tokens=5000, session=n)
        assert d.sent[r].replica < 11
        d.serve(r)


def test_a_kept_prompt_goes_to_the_writer_that_keeps_it_until_a_flush():
    d = RouterDriver()
    for n in range(20):
        d.serve(d.arrive(prompt_tokens=9000, session=50 + n)[0])
    r, _ = d.arrive(prompt_tokens=1500, session=7)
    d.serve(r)
    home = d.sent[r].replica
    assert home >= 11
    q, _ = d.arrive(prompt_tokens=2900, session=7)
    assert d.sent[q].replica == home
    d.end(q, Outcome.ANSWERED, answered=True, cached_tokens=0)
    assert d.sent[d.arrive(prompt_tokens=5600, session=7)[0]].replica < 11


def test_a_prompt_whose_state_was_fetched_is_not_believed_to_be_kept_at_the_writer():
    d = RouterDriver()
    r, _ = d.arrive(prompt_tokens=5000, session=7)
    d.serve(r)
    assert d.sent[r].replica > 10
    assert d.sent[d.arrive(prompt_tokens=5400, session=7)[0]].replica < 11


def test_local_reading_only_where_the_settings_allow_it_and_memory_is_free():
    off = RouterDriver(replace(SETTINGS, local_prefill=False))
    assert all(off.sent[off.arrive(prompt_tokens=500, session=n)[0]].replica < 11 for n in range(1, 20))
    full = RouterDriver()
    full_writers = [e for e in full.router.replicas.values() if e.role == Role.DECODE]
    full.router.loads._kinds[1].memory_used.add(full.now, 0.97)  # a deployment with load reports
    for e in full_writers:
        e.memory_used.add(full.now, 0.97, 4)
    _, out = full.arrive(prompt_tokens=500, session=99)
    assert of_type(RejectRequest, out)
    assert not of_type(SendAttempt, out)
    full_writers[0].memory_used.value = 0.5
    r, _ = full.arrive(prompt_tokens=6000, session=99)
    full.end(r, Outcome.PREFILLED)
    assert full.sent[r].replica == full_writers[0].id


def test_same_reader_pair_at_every_node_whatever_the_seed():
    seen: dict[int, set[int]] = {}
    for seed in range(8):
        d = RouterDriver(seed=seed)
        for prefix in range(1, 30):
            both = [d.arrive(prompt_tokens=6000, prefix=prefix, prefix_tokens=3000)[0] for _ in range(2)]
            seen.setdefault(prefix, set()).update(d.sent[r].replica for r in both)
            for r in both:
                d.serve(r)
    assert all(len(pair) <= 2 for pair in seen.values())
    assert sum(len(pair) == 2 for pair in seen.values()) > 10
    assert len({min(p) for p in seen.values()}) > 2


def test_past_a_lost_reader_the_next_in_hash_order_takes_over():
    d = RouterDriver()
    r, _ = d.arrive(prompt_tokens=6000, prefix=5, prefix_tokens=3000)
    home = d.sent[r].replica
    d.feed(EndpointsUpdated(False, (endpoint(home, 0, phase=Phase.DRAINING),)))
    q, _ = d.arrive(prompt_tokens=6000, prefix=5, prefix_tokens=3000)
    assert d.sent[q].replica != home


def test_writer_in_the_readers_cell_then_its_zone_then_anywhere():
    fleet = (endpoint(1, 0, cell=1), endpoint(11, 1, cell=1), endpoint(12, 1, cell=2), endpoint(13, 1, cell=3, zone=1))
    d = RouterDriver(fleet=fleet)
    for lost, expected in ((None, 11), (11, 12), (12, 13)):
        if lost:
            d.feed(EndpointsUpdated(False, (replace(fleet[lost - 10], phase=Phase.GONE),)))
        r, _ = d.arrive(prompt_tokens=6000)
        d.end(r, Outcome.PREFILLED)
        assert d.sent[r].replica == expected


def test_mixed_servers_take_their_share_whole():
    fleet = FLEET + (endpoint(21, 2, cell=0), endpoint(22, 2, cell=1))
    d = RouterDriver(fleet=fleet)
    engines = []
    for n in range(1, 41):
        r, _ = d.arrive(prompt_tokens=1500, session=n)
        engines.append(d.sent[r].replica)
        if engines[-1] < 11:
            d.end(r, Outcome.PREFILLED)
    assert d.sent[d.arrive(prompt_tokens=9000)[0]].replica < 11
    whole = sum(e > 20 for e in engines)
    assert 0 < whole < 40
    r = next(n for n, e in enumerate(engines, 1) if e > 20)
    d.response_started(r)
    assert not of_type(SendAttempt, d.end(r, Outcome.ANSWERED, answered=True))


def test_identical_events_give_identical_actions():
    a, b = RouterDriver(seed=3), RouterDriver(seed=3)
    for n in range(50):
        assert a.arrive(prompt_tokens=500 + 90 * n, session=n, prefix=n % 5, prefix_tokens=400) == b.arrive(
            prompt_tokens=500 + 90 * n, session=n, prefix=n % 5, prefix_tokens=400
        )
    assert isinstance(a.router, Router)


def test_a_refused_client_is_told_when_to_come_back_within_the_bound():
    for hints, most, away in ((True, 2 * S, 2 * S), (True, 300_000, 300_000), (False, 2 * S, 0)):
        d = RouterDriver(settings(retry_hints=hints, max_retry_after=most), fleet=())
        _, out = d.arrive()
        assert [a.retry_after for a in of_type(RejectRequest, out)] == [away]


def test_a_giant_prompt_is_not_believed_as_kept_as_usual_ones():
    d = RouterDriver()
    for n in range(20):  # prefills find nearly all of each prompt cached
        r, _ = d.arrive(prompt_tokens=5000, session=n + 1, prefix=7, prefix_tokens=4000)
        d.end(r, Outcome.PREFILLED, cached_tokens=4500)
        d.response_started(r)
        d.end(r, Outcome.ANSWERED, answered=True)
    reader = d.router.replicas[1]
    usual, giant = (RequestArrived(99, 0, 0, 77, 8, 0, prompt, 100, 4 * S, False, False) for prompt in (5000, 60_000))
    assert d.router.affinity.cached_tokens(d.router.now, reader, usual, 1) > 3000
    assert d.router.affinity.cached_tokens(d.router.now, reader, giant, 1) < 12_000


def test_the_one_writer_left_in_a_cell_is_not_buried():
    """A release removed the other decode replicas of the cell.

    Judged only by the time of its finished answers, the remaining one would get all requests that the cell prefills.
    """
    fleet = (
        tuple(endpoint(n, 0, cell=0) for n in range(1, 4))
        + (endpoint(11, 1, cell=0),)
        + tuple(endpoint(n, 1, cell=1) for n in range(12, 16))
    )
    d = RouterDriver(SETTINGS, fleet)
    at = []
    for n in range(40):
        r, _ = d.arrive(prompt_tokens=3000, session=n + 1)
        if d.sent[r].replica < 10:
            d.end(r, Outcome.PREFILLED)
        d.response_started(r)  # and the stream goes on
        at.append(d.sent[r].replica)
    assert at[0] == 11  # the nearest is preferred while its load is not above the others'
    assert 8 <= at.count(11) <= 16, at  # of 40 requests, among five decode replicas


def test_a_mixed_server_takes_its_share_whole_and_not_everything():
    fleet = (*FLEET, endpoint(21, 2), endpoint(22, 2, phase=Phase.DRAINING))
    d = RouterDriver(SETTINGS, fleet)
    for n in range(60):
        r, _ = d.arrive(prompt_tokens=1000, session=n + 1)
        if d.sent[r].replica < 10:
            d.end(r, Outcome.PREFILLED)
        d.response_started(r)
    work = {e.id: e.tokens_in_flight for e in d.router.replicas.values() if e.role != Role.PREFILL}
    assert work[21] <= 2 * sum(work.values()) / (len(work) - 1) + 1050, work
