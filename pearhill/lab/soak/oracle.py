"""The rules of the platform as an oracle over what clients, replicas and agents saw. Free of I/O.

Times are passed in: microseconds of one monotonic clock, that of the soak's own process. A limit that was passed is a
violation unless this machine is known to have run that late just then (`Lateness`).
"""

from __future__ import annotations

from collections import Counter

from pearhill.lab.soak.endings import CROSSING, Endings
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.records import KEYED, SAFE, SECOND, UNSAFE, Attempt, Held, Request, Sent, Violation
from pearhill.lab.soak.slow_start import ColdReplicas, Rules

CANCEL_WITHIN = 100_000  # an attempt may begin so long after its client closed, or after its request had its answer
TIMEOUT_SLACK = 150_000  # a replica may be told so much more time than the client has left
ANSWER_SLACK = 500_000  # an answer so long after the client's time earns nothing, a later one is lost
HELD_SLACK = 300_000  # beyond `release-within`
END_WITHIN = SECOND  # the end of a stream is passed on by then
SILENT_FOR = 4 * SECOND  # a stream that is silent for so long may be given up: its client may not wait 5 s for nothing
BAD_WITHIN = 3 * SECOND  # a client that stops in the middle of a request gets its error or its end
REFUSALS = (429, 503)

__all__ = ["KEYED", "SAFE", "SECOND", "UNSAFE", "Oracle", "Rules", "Violation"]


class Oracle:
    """`exposure` counts how often each rule could have been broken: nothing found is not nothing tried."""

    def __init__(self, rules: Rules, lateness: Lateness | None = None) -> None:
        self.rules, self.lateness = rules, lateness or Lateness(lambda: 0)
        self.requests: dict[str, Request] = {}
        self.endings = Endings()
        self.exposure: Counter[str] = Counter()
        self._found: list[Violation] = []
        self._open: set[str] = set()  # requests that have not ended
        self._told_away: dict[tuple[str, str], int] = {}  # since when a dispatcher knows that a replica leaves
        self._unreachable: dict[str, list[list[int]]] = {}  # replicas, and the spans in which they were cut off
        self._failing: dict[
            str, list[list[int]]
        ] = {}  # dispatchers, and the spans in which their reads and writes fail
        self._crowded: dict[str, list[list[int]]] = {}  # dispatchers, and the spans in which a crowd filled them
        self._lost_peers: set[tuple[str, int]] = set()  # clients' ports whose connections the system broke
        self._cold = ColdReplicas(rules)

    def _broken(
        self, at: int, rule: str, request: str, detail: str, excess: int | None = None, since: int | None = None
    ) -> None:
        self._found.append(Violation(at, rule, request, detail, excess, at if since is None else since))

    @property
    def violations(self) -> list[Violation]:
        """What no lateness explains. Asked at the end, since a lateness is known only when it is over."""
        return [v for v in self._found if v.excess is None or v.excess > self.lateness.between(v.since, v.at)]

    # What clients saw.

    def asked(self, at: int, request: str, dispatcher: str, effect: str, window: int, ttl: int) -> None:
        """The request's last byte was written; once more, if its id is known: then it is the same request."""
        if known := self.requests.get(request):
            self.exposure["sent once more"] += 1
            known.sent.append(Sent(dispatcher, at))
            known.note(at, f"sent once more, to {dispatcher}")
        else:
            self.requests[request] = Request(effect, window, ttl, [Sent(dispatcher, at)])
        self._open.add(request)
        if self.is_ending(dispatcher):
            self.exposure["written after SIGTERM"] += 1

    def is_ending(self, dispatcher: str) -> bool:
        last = self.endings.last(dispatcher)
        return last is not None and bool(last.terminated) and not last.killed

    def client_closed(self, at: int, request: str) -> None:
        """The client gave up, or left."""
        asked = self.requests[request]
        if not asked.answered:
            self.exposure["clients that left before an answer"] += 1
        asked.closed = asked.closed or at
        self._end(at, request)
        asked.note(at, "client closed")

    def _end(self, at: int, request: str) -> None:
        asked = self.requests[request]
        asked.ended = asked.ended or at
        self._open.discard(request)

    def answered(self, at: int, request: str, status: int) -> None:
        """The final answer's first byte."""
        asked = self.requests[request]
        asked.answered, asked.status = at, status
        asked.note(at, f"answered {status}")
        limit = asked.at + asked.ttl + ANSWER_SLACK
        if at > limit and not self.endings.excuse(asked, at):
            detail = f"answered {(at - asked.at) // 1000} ms after it was asked, ttl {asked.ttl // 1000} ms"
            self._broken(at, "late", request, detail, at - limit, asked.at)
        ran = any(a.may_have_run and a.answers for a in asked.attempts)
        if status in REFUSALS and ran and asked.effect == UNSAFE:
            self._broken(at, "refused", request, "refused as harmless to repeat, though an attempt may have run")

    def received(self, request: str, data: bytes) -> None:
        """Bytes of a stream."""
        self.requests[request].got += data
        self.exposure["bytes compared"] += len(data)

    def finished(self, at: int, request: str) -> None:
        """The answer was ended in good order."""
        asked = self.requests[request]
        self._end(at, request)
        asked.note(at, "whole")
        if asked.status != 200:
            return
        if self._compare(at, request) and not any(a.finished and a.wrote == asked.got for a in asked.attempts):
            self._broken(
                at, "incomplete", request, f"ended as whole after {len(asked.got)} bytes that are no whole answer"
            )

    def stream_broke(self, at: int, request: str, peer: int) -> None:
        """The connection ended in the middle of an answer that had begun with 200. `peer`: the client's port."""
        asked = self.requests[request]
        self._end(at, request)
        asked.note(at, "stream broke")
        self.exposure["streams that broke"] += 1
        if self._compare(at, request) and not self._may_break(at, asked, peer):
            self._broken(at, "broken", request, "its stream was ended while a replica was writing it, or had finished")

    def _may_break(self, at: int, asked: Request, peer: int) -> bool:
        if self.endings.excuse(asked, at) or (asked.dispatcher, peer) in self._lost_peers:
            return True
        if self._was(self._failing, asked.dispatcher, asked.at, at):
            return True
        attempt = asked.streaming
        if attempt is None:  # its first event is on its way: whichever replica was asked last writes it
            attempt = next((a for a in reversed(asked.attempts) if a.answers), None)
        if attempt is None:
            return False
        if self._was_cut(attempt.replica, attempt.at, at):
            return True
        silent = not attempt.finished and at >= (attempt.wrote_at or attempt.at) + SILENT_FOR
        return silent or bool(attempt.broken_at)

    def _compare(self, at: int, request: str) -> bool:
        """Whether what came of a stream was written so, for this request, by some one replica."""
        asked = self.requests[request]
        if not asked.got or any(a.wrote.startswith(asked.got) for a in asked.attempts):
            return True
        self._broken(at, "bytes", request, f"{len(asked.got)} bytes came that no replica wrote so for this request")
        return False

    def lost(self, at: int, request: str, why: str) -> None:
        """The connection ended, or the client waited too long, with no answer."""
        asked = self.requests[request]
        asked.note(at, f"lost: {why}")
        if not self.endings.excuse(asked, at):
            self._broken(at, "lost", request, why)

    def ended_unanswered(self, at: int, request: str, peer: int, used: bool) -> bool:
        """Its connection ended with no answer. `used`: the connection had carried a request before. Whether its client
        may send it once more, since a close may have crossed it: that takes a moment and not a second."""
        asked = self.requests[request]
        asked.note(at, "ended with no answer")
        if self.endings.excuse(asked, at) or (asked.dispatcher, peer) in self._lost_peers:
            return False
        if not used and not self._may_cross_first_request(asked, at):
            self._broken(at, "lost", request, "its connection ended with no answer")
            return False
        limit = asked.at + CROSSING
        if at > limit:
            detail = f"its connection ended with no answer {(at - asked.at) // 1000} ms after it was written"
            self._broken(at, "lost", request, detail, at - limit, asked.at)
        return True

    def _may_cross_first_request(self, asked: Request, at: int) -> bool:
        """Whether a close may cross the first request of a connection, for a moment. Where a crowd fills the
        descriptors a new connection may be shut unread; a dispatcher that ends shuts those on which no client asks in
        time."""
        crowded = self._was(self._crowded, asked.dispatcher, asked.at, at)
        return crowded or self.endings.first_request_was_late(asked.sent[-1])

    def sent_away(self, at: int, dispatcher: str, since: int) -> None:
        """A client that stopped half-way, or said nothing, got its error or its end."""
        self.exposure["bad clients"] += 1
        if at > since + BAD_WITHIN:
            detail = f"a client that stopped half-way was sent away after {(at - since) // 1000} ms"
            self._broken(at, "bad-client", dispatcher, detail, at - since - BAD_WITHIN, since)

    # What replicas saw.

    def arrived(self, at: int, request: str, replica: str, answers: bool, told_ms: int, role: str = "") -> Attempt:
        """The last byte of an attempt has reached a running replica. `answers`: it writes the answer."""
        attempt = Attempt(replica, at, answers)
        asked = self.requests.get(request)
        if asked is None:
            self._broken(at, "unknown", request, f"no client sent this id, seen at {replica}")
            return attempt
        asked.note(at, f"arrived at {replica}, told {told_ms} ms")
        self._begun_for_nobody(at, request, asked, replica)
        self._told_too_much(at, request, asked, replica, told_ms)
        self._sent_to_one_that_leaves(at, request, asked, replica)
        self._repeated(at, asked, request, attempt)
        if asked.attempts:
            self.exposure["further attempts"] += 1
        asked.attempts.append(attempt)
        if self._cold.is_cold(replica):
            self.exposure["arrivals at cold replicas"] += 1
        if wrong := self._cold.arrived(at, replica, role):
            self._broken(at, "slow-start", request, wrong)
        return attempt

    def _begun_for_nobody(self, at: int, request: str, asked: Request, replica: str) -> None:
        for rule, since, what in (
            ("cancelled", asked.closed, "its client closed"),
            ("after-answer", asked.answered, "its final answer had begun"),
        ):
            if since and at > since + CANCEL_WITHIN:
                detail = f"begun at {replica} {(at - since) // 1000} ms after {what}"
                self._broken(at, rule, request, detail, at - since - CANCEL_WITHIN, since)

    def _told_too_much(self, at: int, request: str, asked: Request, replica: str, told_ms: int) -> None:
        left = max(0, asked.at + asked.ttl - at)
        excess = told_ms * 1000 - left - TIMEOUT_SLACK
        if excess > 0:
            detail = f"{replica} was told {told_ms} ms, {left // 1000} ms are left"
            self._broken(at, "deadline", request, detail, excess, asked.at)

    def _sent_to_one_that_leaves(self, at: int, request: str, asked: Request, replica: str) -> None:
        away = self._told_away.get((asked.dispatcher, replica))
        if away is None:
            return
        self.exposure["arrivals at replicas that leave"] += 1
        excess = at - away - self.rules.drain_grace
        if excess > 0:
            detail = f"{asked.dispatcher} sent to {replica} {(at - away) // 1000} ms after it was told that it leaves"
            self._broken(at, "drain", request, detail, excess, at - SECOND // 2)

    def _repeated(self, at: int, asked: Request, request: str, attempt: Attempt) -> None:
        ran = [a for a in asked.attempts if a.answers and a.may_have_run]
        if not attempt.answers or not ran:
            return
        if asked.effect == UNSAFE:
            self._broken(at, "duplicate", request, f"at {attempt.replica} after {ran[0].replica}, may have run twice")
        elif asked.effect == KEYED and at > ran[0].at + asked.window:
            detail = f"repeated {(at - ran[0].at) // 1000} ms after its first attempt"
            self._broken(at, "window", request, detail, at - ran[0].at - asked.window, ran[0].at)

    def attempt_over(self, at: int, request: str, attempt: Attempt, never_ran: bool = False) -> None:
        """It was answered, turned away (`never_ran`), or its connection has ended."""
        attempt.ended = at
        attempt.may_have_run = attempt.may_have_run and not never_ran
        asked = self.requests.get(request)
        if asked is None:
            return
        asked.note(at, f"over at {attempt.replica}{', never ran' if never_ran else ''}")
        if asked.held and attempt.answers:
            asked.held.since = at
        later = [a for a in asked.attempts if a.at > attempt.at and at > a.at + CANCEL_WITHIN]
        if later and not self._was_cut(attempt.replica, attempt.at, at):
            detail = (
                f"still out at {attempt.replica} {(at - later[0].at) // 1000} ms after it arrived at {later[0].replica}"
            )
            self._broken(at, "second-copy", request, detail, at - later[0].at - CANCEL_WITHIN, later[0].at)

    def wrote(self, at: int, attempt: Attempt, data: bytes) -> None:
        """Whole events of an attempt's stream, written by its replica."""
        attempt.wrote += data
        attempt.wrote_at = at

    def stream_spoilt(self, at: int, request: str, attempt: Attempt | None = None) -> None:
        """The replica or the network ended or spoilt the stream of an attempt; without one: of the request's last."""
        asked = self.requests.get(request)
        if attempt is None and asked:
            attempt = next((a for a in reversed(asked.attempts) if a.answers), None)
        if attempt:
            attempt.broken_at = attempt.broken_at or at
        if asked and attempt:
            asked.note(at, f"stream of {attempt.replica} spoilt")

    # What is held.

    def read(self, at: int, request: str, reader: str) -> None:
        """A reader has read the prompt and holds its state."""
        if asked := self.requests.get(request):
            asked.held = Held(reader, at)
            asked.note(at, f"held at {reader}")

    def released(self, at: int, request: str, reader: str) -> None:
        """A DELETE has arrived. It lets go of nothing while an attempt waits for the state."""
        asked = self.requests.get(request)
        if asked:
            asked.note(at, f"release at {reader}")
        if asked and asked.held and asked.held.reader == reader and not self._out(asked):
            asked.held = None

    def fetched(self, request: str) -> bool:
        """A writer's first event: the state is gone. False: there was none."""
        asked = self.requests.get(request)
        if asked is None or asked.held is None:
            return False
        asked.held = None
        return True

    def holds(self, request: str) -> bool:
        asked = self.requests.get(request)
        return asked is not None and asked.held is not None

    @staticmethod
    def _out(asked: Request) -> bool:
        return any(a.answers and not a.ended for a in asked.attempts)

    def reader_restarted(self, reader: str) -> None:
        for asked in self.requests.values():
            if asked.held and asked.held.reader == reader:
                asked.held = None

    def scan(self, at: int) -> None:
        """Look for what is held too long while no attempt is out for it, and for ends that were not passed on."""
        self._scan_held(at)
        for request in list(self._open):
            self._scan_end(at, request)

    def _scan_held(self, at: int) -> None:
        limit = self.rules.release_within + HELD_SLACK
        for request, asked in self.requests.items():
            held = asked.held
            if held is None or held.reported or self._out(asked) or at <= held.since + limit + self.lateness.base:
                continue
            if self.endings.excuse_any(asked, at) or self._was_cut(held.reader, held.since, at):
                continue
            excess = at - held.since - limit
            if excess <= self.lateness.between(held.since, at):  # looked at again: it may be let go of by then
                continue
            held.reported = True
            detail = f"held at {held.reader} for {(at - held.since) // 1000} ms with no attempt out"
            self._broken(at, "pinned", request, detail)

    def _scan_end(self, at: int, request: str) -> None:
        """A stream that its replica has ended, in whatever way, and whose client was told nothing for a second."""
        asked = self.requests[request]
        if asked.late_end_reported or asked.status != 200 or not (attempt := asked.streaming):
            return
        over = attempt.broken_at or (attempt.finished and attempt.wrote_at)
        if not over or at <= over + END_WITHIN:
            return
        if self.endings.excuse(asked, at) or self._was_cut(attempt.replica, attempt.at, at):
            return
        excess = at - over - END_WITHIN
        if excess > self.lateness.between(over, at):
            asked.late_end_reported = True
            detail = f"{attempt.replica} ended its stream {(at - over) // 1000} ms ago, and its client was not told"
            self._broken(at, "end-not-passed-on", request, detail)

    # What discovery, the network and the dispatchers' machines did.

    def told(self, at: int, dispatcher: str, replica: str, ready: bool) -> None:
        """What discovery has for this dispatcher."""
        if ready:
            self._told_away.pop((dispatcher, replica), None)
        else:
            self._told_away.setdefault((dispatcher, replica), at)

    def not_told(self, dispatcher: str, replica: str) -> None:
        """Its discovery fell silent before the dispatcher could ask."""
        self._told_away.pop((dispatcher, replica), None)

    def started(self, at: int, replica: str) -> None:
        """A cold start that discovery has told everybody."""
        self._cold.started(at, replica)

    def cut(self, at: int, replica: str, on: bool) -> None:
        self._span(self._unreachable, at, replica, on)

    def calls_fail(self, at: int, dispatcher: str, on: bool) -> None:
        """Reads and writes on the dispatcher's connections to replicas break them."""
        self._span(self._failing, at, dispatcher, on)

    def crowded(self, at: int, dispatcher: str, on: bool) -> None:
        self._span(self._crowded, at, dispatcher, on)

    @staticmethod
    def _span(spans: dict[str, list[list[int]]], at: int, name: str, on: bool) -> None:
        if on:
            spans.setdefault(name, []).append([at, at + 10**12])
        elif name in spans:
            spans[name][-1][1] = at

    @staticmethod
    def _was(spans: dict[str, list[list[int]]], name: str, since: int, until: int, after: int = 0) -> bool:
        return any(a <= until and b + after >= since for a, b in spans.get(name, ()))

    def _was_cut(self, replica: str, since: int, until: int) -> bool:
        """After a cut connections have to be made anew."""
        return self._was(self._unreachable, replica, since, until, after=SECOND)

    def peer_lost(self, dispatcher: str, port: int) -> None:
        """The system broke the dispatcher's connection to this client."""
        self._lost_peers.add((dispatcher, port))

    def terminated(self, at: int, dispatcher: str) -> None:
        self.endings.terminated(at, dispatcher)
        self.exposure["under way at a SIGTERM"] += self._under_way(dispatcher)

    def killed(self, at: int, dispatcher: str) -> None:
        self.endings.killed(at, dispatcher)
        self.exposure["under way at a kill"] += self._under_way(dispatcher)

    def exited(self, at: int, dispatcher: str) -> None:
        self.endings.exited(at, dispatcher)

    def _under_way(self, dispatcher: str) -> int:
        return sum(self.requests[request].dispatcher == dispatcher for request in self._open)

    def process_fault(self, at: int, dispatcher: str, detail: str) -> None:
        self._broken(at, "process", dispatcher, detail)
