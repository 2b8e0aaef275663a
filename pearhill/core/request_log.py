"""Log lines about requests and attempts. Each names the request by its number, which is unique in the process."""

from __future__ import annotations

from loguru import logger

from pearhill.core.request import Attempt, Request
from pearhill.routing.outcomes import Outcome


def log_state(request: Request, state: str, detail: str) -> None:
    """A request has come to a state: sent, left, refused or failed."""
    logger.debug(
        "request={number} id={id} state={state} {why}",
        number=request.number,
        id=request.id,
        state=state,
        why=detail,
    )


def log_attempt_ended(attempt: Attempt, outcome: Outcome, elapsed: int) -> None:
    """An attempt is over, after `elapsed` microseconds."""
    logger.debug(
        "attempt request={request} n={n} replica={replica} outcome={outcome} started={started} "
        "elapsed_us={elapsed_us} timeout_us={timeout_us}",
        request=attempt.request.number,
        n=attempt.index,
        replica=attempt.replica,
        outcome=outcome,
        started=attempt.response_started,
        elapsed_us=elapsed,
        timeout_us=attempt.timeout,
    )


def log_unconfirmed_fetch(attempt: Attempt) -> None:
    """The replica of a fetch has not answered in time, so that what is fetched is released."""
    logger.debug(
        "attempt request={request} n={n} replica={replica} shows no sign: what is held for it is released",
        request=attempt.request.number,
        n=attempt.index,
        replica=attempt.replica,
    )


def log_cut_answer(attempt: Attempt, why: str, now: int) -> None:
    """An answer began and is not complete: what ended it, and for how long nothing of it had been forwarded."""
    silent = now - attempt.last_forwarded_at if attempt.last_forwarded_at else 0
    logger.info(
        "answer cut request={request} id={id} replica={replica} why={why} silent_us={silent_us}",
        request=attempt.request.number,
        id=attempt.request.id,
        replica=attempt.replica,
        why=why,
        silent_us=silent,
    )


def log_violation(request: Request, rule: str) -> None:
    """The router requested what no rule allows; it was not done."""
    logger.error("violation rule={rule} request={number} id={id}", rule=rule, number=request.number, id=request.id)


def log_missed_deadline(request: Request) -> None:
    """The router has let a request's deadline pass; the core has answered."""
    logger.error("request {request} reached its deadline without an answer from the router", request=request.number)
