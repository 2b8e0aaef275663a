"""Drives one Router: requests come in from a front, attempts go out to a backend, outcomes come back.

The Router judges; this module keeps its books. It owns the promise that a request taken gets one final answer,
knows which engines may hold something for a request, and turns whatever happens into one event each.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.core.ports import Backend, Client
from pearhill.core.request import Attempt, Request, RequestSpec
from pearhill.counters import BUSY, FAILURE, SUCCESS, Calls, Counters
from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome
from pearhill.routing.permissions import Denied, Execution, may_reject, may_retry, may_send, may_start
from pearhill.routing.topology import Endpoint, Phase, Role
from pearhill.settings import Deployment

TOO_MANY_OPEN = "too-many-open"
EXPIRED, DEADLINE_EXCEEDED = (
    "expired",
    "overdue",
)  # its time was over before its turn; the router has not answered in time
REJECTED_AFTER_EXECUTION = "refused-after-effect"
# Whoever asks for these has lost count. The others are crossings of events, and no fault.
VIOLATIONS = (Denied.ATTEMPT_IN_FLIGHT, Denied.MAY_HAVE_EXECUTED, Denied.OUT_OF_SCOPE)


class Dispatcher:
    def __init__(self, deployment: Deployment, seed: int, deadlines: Deadlines, counters: Counters) -> None:
        self.deployment, self.deadlines, self.counters = deployment, deadlines, counters
        self.clock = deadlines.clock
        self.router = LoadAwareRouter(deployment.router, seed)
        self.backend: Backend | None = None
        self.requests: dict[int, Request] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.calls_by_class = [Calls() for _ in deployment.class_names]
        self.inflight = 0  # requests taken that have not ended
        self._health_checks: dict[int, int] = {}  # engines with a probe out, and since when
        self._next, self._events, self._busy = 1, deque[Event](), False

    @property
    def _backend(self) -> Backend:
        assert self.backend is not None, "a dispatcher needs its backend before its first event"
        return self.backend

    # From a front.

    def accept(self, spec: RequestSpec, client: Client, payload: Any, arrived: int | None = None) -> Request:
        """Take a request. `arrived` is the time of its last byte: its deadline runs from there."""
        now = self.clock()
        end = (now if arrived is None else arrived) + spec.timeout
        request = Request(self._next, spec.request_class, client, payload, end, spec.id)
        self._next += 1
        self.requests[request.number] = request
        self.counters.taken += 1
        self.inflight += 1
        if end <= now:  # it was read long before its turn: whatever was begun for it now would come too late
            self._reject(request, 0, EXPIRED)
            del self.requests[request.number]
            return request
        request.deadline_timer = self.deadlines.at(end, lambda: self._deadline_exceeded(request))
        self._feed(
            RequestArrived(
                request.number,
                spec.request_class,
                spec.tenant,
                spec.session,
                spec.prefix,
                spec.prefix_tokens,
                spec.prompt_tokens,
                spec.max_output_tokens,
                max(1, end - now),
                spec.is_retry,
                spec.resumed,
                spec.allowed_kinds,
                spec.admission,
                spec.retry_after,
            )
        )
        return request

    def record_rejection(self, request_class: int, reason: str = TOO_MANY_OPEN) -> None:
        """A front has refused a request that it did not take."""
        self.counters.refusals[reason] += 1
        self.counters.refused += 1
        self._count(request_class, BUSY)

    def disconnect(self, request: Request) -> None:
        """The client has gone. Its attempt is called off, even one whose answer has begun: nobody reads it."""
        if request.answered:
            return
        request.client_disconnected = True
        self._finish(request, "")
        self.counters.left += 1
        attempt = request.current_attempt
        self._log(request, "left", "")
        if attempt and attempt.response_started:
            self.counters.left_in_answer += 1
            self._log_cut_answer(attempt, "client-left")
        self._feed(ClientDisconnected(request.number))
        if attempt and not attempt.ended:
            self._cancel_attempt(attempt)

    # From the list of engines.

    def update_endpoints(self, full: bool, endpoints: tuple[Endpoint, ...]) -> None:
        if full:
            self.endpoints = {}
        for entry in endpoints:
            self.endpoints[entry.replica] = entry
            if entry.phase == Phase.GONE:
                del self.endpoints[entry.replica]
        # What was chosen before this list and waits for its connection would be sent long after it.
        withdrawn = [
            a
            for r in self.requests.values()
            if (a := r.current_attempt) and not self._accepts_requests(a.replica) and not self._backend.has_started(a)
        ]
        self._feed(EndpointsUpdated(full, endpoints))
        for attempt in withdrawn:
            self._stop(attempt, Outcome.WITHDRAWN)

    def _accepts_requests(self, engine: int) -> bool:
        """Whether the list has this engine as one that takes requests."""
        entry = self.endpoints.get(engine)
        return entry is not None and entry.phase == Phase.READY

    def reconfigure(self, deployment: Deployment) -> None:
        """Other settings for the same classes, kinds and zones; requests, attempts and beliefs stay as they are."""
        self.deployment = deployment
        self.router.reconfigure(deployment.router)

    @property
    def can_answer(self) -> bool:
        """Some engine that writes answers is listed as ready."""
        kinds = self.deployment.router.kinds
        return any(e.phase == Phase.READY and kinds[e.kind].role != Role.PREFILL for e in self.endpoints.values())

    # From a backend.

    def may_start(self, attempt: Attempt) -> bool:
        """Between a choice and the first byte a connection comes up. Meanwhile the client goes, or the window
        ends in which the effect may be repeated; and a busy loop has read neither the one nor the other's deadline.
        (What the list takes away meanwhile is withdrawn by `listed`.)"""
        if not attempt.ended and attempt.request.client.has_disconnected():
            self.disconnect(attempt.request)
        if may_start(self.clock(), attempt.send_before):
            self.withdraw(attempt)
        return not attempt.ended

    def withdraw(self, attempt: Attempt) -> None:
        """Its last byte may have gone out in the loop's own turn, before whoever waits for that hears of it. Of
        one that has begun to be written nobody can say that it never ran."""
        if not attempt.ended:
            sent = self._backend.cancel(attempt)
            self.end(attempt, Outcome.TIMEOUT if sent else Outcome.WITHDRAWN, may_hold=sent)

    def start_response(self, attempt: Attempt) -> bool:
        if attempt.ended or attempt.request.answered:
            return False
        if not attempt.response_started:
            attempt.response_started = True
            attempt.cancel_timers()
            self.deadlines.cancel(attempt.request.deadline_timer)
            attempt.request.state_holders.clear()  # with the first event all else that is held goes by itself
            self._feed(
                ResponseStarted(attempt.request.number, attempt.index, attempt.replica, self.clock() - attempt.sent_at)
            )
        return True

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        attempt.cancel_timers()
        request = attempt.request
        request.current_attempt = None
        if outcome == Outcome.WITHDRAWN:
            request.attempts -= 1  # it was none
        self.counters.outcomes[outcome] += 1
        rtt = self.clock() - attempt.sent_at
        logger.debug(
            "attempt request={request} n={n} engine={engine} outcome={outcome} began={began} rtt_us={rtt_us} "
            "patience_us={patience_us}",
            request=request.number,
            n=attempt.index,
            engine=attempt.replica,
            outcome=outcome,
            began=attempt.response_started,
            rtt_us=rtt,
            patience_us=attempt.timeout,
        )
        if may_hold and not attempt.response_started:
            request.state_holders.add(attempt.replica)
            request.interrupted = request.interrupted or outcome not in (Outcome.PREFILLED, Outcome.ERROR)
        if outcome == Outcome.PREFILLED:
            request.prefill_replica = attempt.replica
        if outcome not in NOT_EXECUTED and self._has_effect(attempt) and request.execution is None and attempt.endpoint:
            request.execution = Execution(attempt.endpoint.zone, attempt.endpoint.cell, attempt.sent_at)
        request.last_outcome = outcome
        if not request.answered and (attempt.response_started or outcome == Outcome.ANSWERED):
            self._finish(request, SUCCESS if outcome == Outcome.ANSWERED else FAILURE)
            if outcome == Outcome.ANSWERED:
                self.counters.served += 1
                request.client.finish()
            else:  # A broken answer that is ended in good order would pass for a whole one.
                self.counters.broken += 1
                self._log_cut_answer(attempt, outcome)
                request.client.abort()
        elif not request.answered and replica_error is not None:
            self._finish(request, FAILURE)
            self.counters.declined += 1
            request.client.decline(replica_error)
        self._feed(
            AttemptEnded(
                request.number,
                attempt.index,
                attempt.replica,
                outcome,
                request.answered,
                cached_tokens,
                rtt,
                None,
                retry_after,
            )
        )

    def health_check_ended(self, engine: int, outcome: Outcome, load: tuple[float, float] | None) -> None:
        """A probe has ended. The Router hears of it before this returns, unless it is busy: then after that."""
        self.counters.probes[outcome] += 1
        since = self._health_checks.pop(engine, self.clock())
        self._feed(HealthCheckEnded(engine, outcome, self.clock() - since, load))

    def release_unless_fetched(self, attempt: Attempt) -> None:
        """No sign of its replica yet. What was written on a connection that has fallen silent has not arrived, and does
        not stop the clock of what is held: it has to be let go of now. Where the attempt did arrive, the holders keep
        the state for it whatever they are told."""
        request = attempt.request
        if not attempt.ended and self._backend.has_started(attempt) and request.state_holders:
            self.counters.unconfirmed += 1
            logger.debug(
                "attempt request={request} n={n} engine={engine} shows no sign: what is held for it is released",
                request=request.number,
                n=attempt.index,
                engine=attempt.replica,
            )
            self._backend.release_unless_fetched(request, set(request.state_holders))

    def expire(self, attempt: Attempt) -> None:
        """Its time is over. The connection goes first, or the next send would be a second copy."""
        self._stop(attempt, Outcome.TIMEOUT)

    # Inside.

    def _cancel_attempt(self, attempt: Attempt) -> None:
        self._stop(attempt, Outcome.CANCELLED)

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.ended:
            return
        request = attempt.request
        sent = self._backend.cancel(attempt)
        if not sent:  # a replica that the list took away is not to blame, nor is any for a client that has gone
            outcome = (
                Outcome.WITHDRAWN
                if not self._accepts_requests(attempt.replica)
                else Outcome.NOT_SENT
                if request.client_disconnected
                else Outcome.UNREACHABLE
            )
        # A read may have ended well at the very moment of its closing, and its state stays pinned.
        self.end(attempt, outcome, may_hold=sent)

    def _count(self, cls: int, end: str) -> None:
        calls = self.calls_by_class[cls]
        setattr(calls, end, getattr(calls, end) + 1)

    def _finish(self, request: Request, end: str) -> None:
        """The one place where a request ends; `end` is empty where its client went first."""
        request.answered = True
        self.inflight -= 1
        if end:
            self._count(request.request_class, end)
        self.deadlines.cancel(request.deadline_timer)

    def _deadline_exceeded(self, request: Request) -> None:
        """A fault elsewhere must not leave a client without an answer. The Router is told as of a
        client that has left, since nothing is owed any more."""
        if request.answered:
            return
        logger.error("request {request} reached its deadline without an answer from the router", request=request.number)
        self._fail(request, DEADLINE_EXCEEDED)
        self._feed(ClientDisconnected(request.number))

    def _feed(self, event: Event) -> None:
        """One event to the Router and its actions carried out, in order; events raised meanwhile wait."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.router.handle(self.clock(), event)
                except Exception:
                    # One fault of the module must not end the process and all that it has taken.
                    self.counters.faults += 1
                    logger.exception("the router failed on {event}", event=event)
                    continue
                for action in actions:
                    self._act(action)
                if not isinstance(event, EndpointsUpdated | TimerFired | HealthCheckEnded):
                    self._forget(event.request)
        finally:
            self._busy = False

    def _forget(self, number: int) -> None:
        request = self.requests.get(number)
        if request and request.answered and request.current_attempt is None:
            del self.requests[number]
            if request.state_holders:  # Whatever path led here, a state must not stay pinned.
                self._release(request)

    def _act(self, action: Action) -> None:
        match action:
            case SetTimer(timer, wait):
                self.deadlines.after(wait, lambda: self._feed(TimerFired(timer)))
                return
            case LogMessage(text):
                logger.info("router: {text}", text=text)
                return
            case SendHealthCheck(engine):
                self._health_checks[engine] = self.clock()
                self._backend.check_health(engine)
                return
        request = self.requests.get(action.request)
        if request is None:
            return
        match action:
            case SendAttempt():
                self._send(request, action)
            case CancelAttempt(_, index):
                attempt = request.current_attempt
                if attempt and attempt.index == index and not attempt.response_started:
                    self._cancel_attempt(attempt)
            case RejectRequest(_, stay_away, why):
                if not request.answered:
                    self._reject(request, stay_away, why)
            case FailRequest(_, why):
                if not request.answered:
                    self._fail(request, why)
            case ReleaseState():
                self._release(request)
            case MigrateStream():
                logger.warning("request {request}: streams are not moved here", request=request.number)

    def _send(self, request: Request, send: SendAttempt) -> None:
        now, engine = self.clock(), send.replica
        if not request.answered and request.client.has_disconnected():  # before a connection is opened for nobody
            self.disconnect(request)
        index, request.attempts = request.attempts, request.attempts + 1
        deadline = min(now + send.attempt_timeout, request.deadline)
        entry = self.endpoints.get(engine)
        attempt = Attempt(self, request, index, engine, now, deadline, send.send_before, send.release_at, entry)
        if denied := self._denied(attempt):
            if denied in VIOLATIONS:
                self._record_violation(request, denied)
            return self.end_unsent(attempt)
        request.current_attempt = attempt
        self.counters.sent += 1
        if index:
            self.counters.retries[request.last_outcome] += 1
        self._log(request, "sent", f"n={index} engine={engine} after={request.last_outcome or 'arrival'}")
        self._backend.send(attempt)

    def _denied(self, attempt: Attempt) -> Denied | None:
        """Why an attempt may not be made, whatever was chosen: the last word on where nothing new may go. From here on
        `listed` takes back what is not under way."""
        request, router = attempt.request, self.deployment.router
        if denied := may_send(
            request.answered,
            request.current_attempt is not None,
            self._accepts_requests(attempt.replica),
            router.max_attempts - attempt.index,
        ):
            return denied
        entry = attempt.endpoint
        if entry is None or not self._has_effect(attempt):
            return None
        return may_retry(router.classes[request.request_class], request.execution, entry.zone, entry.cell, self.clock())

    def _has_effect(self, attempt: Attempt) -> bool:
        """Whether the replica answers the request: reading a prompt is no effect."""
        return attempt.endpoint is not None and self.deployment.router.kinds[attempt.endpoint.kind].role != Role.PREFILL

    def _reject(self, request: Request, stay_away: int, why: str) -> None:
        may_have_run = request.execution is not None or request.current_attempt is not None
        if not may_reject(self.deployment.router.classes[request.request_class], may_have_run):
            self._record_violation(request, REJECTED_AFTER_EXECUTION)
            return self._fail(request, why)
        self._finish(request, BUSY)
        self.counters.refused += 1
        self.counters.refusals[why] += 1
        self._log(request, "refused", why)
        request.client.reject(stay_away)

    def _fail(self, request: Request, why: str) -> None:
        self._finish(request, FAILURE)
        self.counters.failed += 1
        self.counters.failures[why] += 1
        self._log(request, "failed", why)
        request.client.fail()

    def _record_violation(self, request: Request, rule: str) -> None:
        """Something was asked for that no rule allows, and is not done. The log names the request."""
        self.counters.violations[rule] += 1
        logger.error("violation rule={rule} request={number} id={id}", rule=rule, number=request.number, id=request.id)

    def _log(self, request: Request, state: str, why: str) -> None:
        logger.debug(
            "request={number} id={id} state={state} {why}", number=request.number, id=request.id, state=state, why=why
        )

    def _log_cut_answer(self, attempt: Attempt, why: str) -> None:
        """An answer that began and is not whole: who ended it, and for how long nothing of it had been passed on."""
        logger.info(
            "answer cut request={request} id={id} engine={engine} why={why} silent_us={silent_us}",
            request=attempt.request.number,
            id=attempt.request.id,
            engine=attempt.replica,
            why=why,
            silent_us=self.clock() - attempt.last_forwarded_at if attempt.last_forwarded_at else 0,
        )

    def end_unsent(self, attempt: Attempt) -> None:
        """Not sent: the request is over, bound to another attempt, or out of attempts."""
        attempt.ended = True
        attempt.cancel_timers()
        self._feed(
            AttemptEnded(
                attempt.request.number,
                attempt.index,
                attempt.replica,
                Outcome.NOT_SENT,
                attempt.request.answered,
                0,
                0,
                None,
            )
        )

    def _release(self, request: Request) -> None:
        engines, request.state_holders = request.state_holders, set()
        if engines:
            self.counters.released += len(engines)
            self._backend.release(request, engines)
