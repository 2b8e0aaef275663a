"""Log lines about requests and attempts. Each contains the number of the request, which is unique in the process."""

from __future__ import annotations

from loguru import logger

from pearhill.core.request import Attempt, Request
from pearhill.routing.outcomes import Outcome


def log_state(request: Request, state: str, detail: str) -> None:
    """Log that a request has reached a state: sent, left, refused or failed."""
    logger.debug(
        "request={number} id={id} state={state} {why}",
        number=request.number,
        id=request.id,
        state=state,
        why=detail,
    )


def log_attempt_ended(attempt: Attempt, outcome: Outcome, elapsed: int) -> None:
    """Log the end of an attempt, `elapsed` microseconds after it was sent."""
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
    """Log that a replica has not responded in time to an attempt that fetches state, so that the state is released."""
    logger.debug(
        "attempt request={request} n={n} replica={replica}: no response in time; releasing the state held for it",
        request=attempt.request.number,
        n=attempt.index,
        replica=attempt.replica,
    )


def log_incomplete_answer(attempt: Attempt, cause: str, now: int) -> None:
    """Log an answer that began and was not completed: its cause, and the time since data was last forwarded."""
    idle_us = now - attempt.last_forwarded_at if attempt.last_forwarded_at else 0
    logger.info(
        "answer cut request={request} id={id} replica={replica} why={why} silent_us={silent_us}",
        request=attempt.request.number,
        id=attempt.request.id,
        replica=attempt.replica,
        why=cause,
        silent_us=idle_us,
    )


def log_violation(request: Request, rule: str) -> None:
    """Log an action of the router that a rule forbids and that was not performed."""
    logger.error("violation rule={rule} request={number} id={id}", rule=rule, number=request.number, id=request.id)


def log_fault(request: Request, error: Exception) -> None:
    """Log an exception on the way of a request."""
    logger.opt(exception=error).error("fault request={number} id={id}", number=request.number, id=request.id)


def log_missed_deadline(request: Request) -> None:
    """Log that the router let a request's deadline pass, so that the core answered it."""
    logger.error("request {request} reached its deadline without an answer from the router", request=request.number)
