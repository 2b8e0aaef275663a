"""The platform's front end: parses the requests of its clients and writes the core's answers to them."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Request, RequestSpec
from pearhill.core.request_ids import ClaimResult
from pearhill.http1.handler import Pending, Reply
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.platform.request_parser import BadRequestError, RequestParser

COMPLETIONS_PATH = "/v1/chat/completions"
READY_PATH = "/ready"
COUNTERS_PATH = "/counters"
ALLOWED_METHODS = {COMPLETIONS_PATH: "POST", READY_PATH: "GET", COUNTERS_PATH: "GET"}
TEXT_HEADERS: Headers = (("Content-Type", "text/plain"),)
JSON_HEADERS: Headers = (("Content-Type", "application/json"),)
ID_UNKNOWN = "id-unknown"  # reason code, counted under `refusals`
REPEATED_ID_BODIES = {
    ClaimResult.OPEN: b"a request with this Request-Id is open\n",
    ClaimResult.MAY_HAVE_EXECUTED: b"a request with this Request-Id may have been executed\n",
}
EVENT_STREAM_HEADERS: Headers = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))


@dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that are forwarded to a replica unchanged."""

    id: str
    method: str
    target: str
    body: bytes
    content_type: str
    idempotency_key: str = ""  # replicas discard a repeated request with the same key


def retry_after_headers(delay: int) -> Headers:
    """Return a Retry-After header for a delay in microseconds, or no header if the delay is 0."""
    return (("Retry-After", f"{delay / 1e6:.3f}"),) if delay > 0 else ()


class PlatformClient:
    """The core's interface to one client of the platform."""

    def __init__(self, dispatcher: Dispatcher, reply: Reply) -> None:
        self.dispatcher = dispatcher
        self.reply = reply
        self.request: Request | None = None
        self.started = False

    def _end(self) -> None:
        """Drop the request, which refers to this client: both, and the body, would wait for the garbage collector."""
        self.request = None

    def reject(self, retry_after: int) -> None:
        """Answer that nothing was executed. `retry_after` is in microseconds."""
        self._end()
        headers = (*TEXT_HEADERS, *retry_after_headers(retry_after))
        self.reply.answer(503, headers, b"refused: trying again is harmless\n")

    def fail(self) -> None:
        """Answer that the request failed and may have been executed."""
        self._end()
        self.reply.answer(500, TEXT_HEADERS, b"failed\n")

    def decline(self, replica_error: Any) -> None:
        """Fail the request. The platform's replicas never decline one, and its protocol has no answer for that case."""
        self.fail()

    async def forward(self, data: bytes) -> None:
        """Forward a piece of the stream. The first piece begins the answer."""
        if not self.started:
            self.started = True
            self.reply.start(200, EVENT_STREAM_HEADERS)
        await self.reply.write(data)

    def finish(self) -> None:
        """End the complete answer."""
        self._end()
        self.reply.finish()

    def abort(self) -> None:
        """Truncate the answer, so that the client sees it as incomplete."""
        self._end()
        self.reply.abort()

    def abandon(self) -> None:
        """End the answer after an exception. One that has begun is truncated by the writer of the response."""
        self.fail()

    def has_disconnected(self) -> bool:
        """Check now whether the client has disconnected."""
        return self.reply.has_disconnected()

    def has_unread_input(self) -> bool:
        """Check now whether bytes from the client wait to be read."""
        return self.reply.has_unread_input()

    def handle_disconnect(self) -> None:
        """Report the client's disconnect to the core, if its request is open."""
        request = self.request
        self._end()
        if request:
            self.dispatcher.handle_disconnect(request)


class PlatformFrontEnd:
    """Answers the platform's calls.

    `rejects_arrival_at`: whether a request that arrived at this time is rejected because the process is shutting down.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        is_ready: Callable[[], bool],
        rejects_arrival_at: Callable[[int], bool] = lambda arrived: False,
    ) -> None:
        self.dispatcher = dispatcher
        self.is_ready = is_ready
        self.rejects_arrival_at = rejects_arrival_at
        self._parser = RequestParser(dispatcher.deployment.class_names, dispatcher.deployment.tenant_names)

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Answer a call, or begin a request and return its client. Returns None if the call is answered already."""
        path = message.path
        method = message.method
        if path == COMPLETIONS_PATH and method == "POST":
            return self._begin_request(message, reply)
        if path == READY_PATH and method == "GET":
            ready = self.is_ready()
            reply.answer(200 if ready else 503, TEXT_HEADERS, b"ready\n" if ready else b"not ready\n")
        elif path == COUNTERS_PATH and method == "GET":
            reply.answer(200, JSON_HEADERS, json.dumps(self.dispatcher.counters.as_dict()).encode())
        else:
            self._answer_unknown_call(path, reply)
        return None

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Return the headers and the body of the response to input that could not be parsed as a request."""
        return TEXT_HEADERS, f"{reason}\n".encode()

    def overload_response(self) -> tuple[Headers, bytes]:
        """Return the headers and the body of the response to a request that was discarded before it began."""
        retry_after = retry_after_headers(self.dispatcher.deployment.router.max_retry_after)
        return (*TEXT_HEADERS, *retry_after), b"refused: trying again is harmless\n"

    def _answer_unknown_call(self, path: str, reply: Reply) -> None:
        self.dispatcher.counters.rejected += 1
        allowed = ALLOWED_METHODS.get(path)
        if allowed:
            reply.answer(405, (*TEXT_HEADERS, ("Allow", allowed)), b"no such call\n")
        else:
            reply.answer(404, TEXT_HEADERS, b"no such call\n")

    def _begin_request(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Pass a request to the core and return its client. Returns None if the request has been rejected."""
        try:
            spec = self._parser.parse(message)
        except BadRequestError as e:
            self.dispatcher.counters.rejected += 1
            reply.reject(400, TEXT_HEADERS, f"{e}\n".encode())
            return None
        if self._reject_inadmissible(spec, message.arrived, reply):
            return None
        client = PlatformClient(self.dispatcher, reply)
        request = self.dispatcher.accept(spec, client, _payload(spec.id, message), message.arrived)
        client.request = None if request.answered else request
        return client

    def _reject_inadmissible(self, spec: RequestSpec, arrived: int | None, reply: Reply) -> bool:
        """Reject a request that may not be begun. Returns whether it has been rejected."""
        dispatcher = self.dispatcher
        if len(dispatcher.requests) >= dispatcher.deployment.max_open_requests:
            dispatcher.record_rejection(spec.request_class)
            retry_after = retry_after_headers(dispatcher.deployment.router.max_retry_after)
            reply.answer(503, (*TEXT_HEADERS, *retry_after), b"too many open\n")
            return True
        if arrived is not None and self.rejects_arrival_at(arrived):
            dispatcher.record_rejection(spec.request_class, "ending")
            reply.answer(503, TEXT_HEADERS, b"this process ends: trying again elsewhere is harmless\n")
            return True
        return self._reject_repeated_id(spec, reply)

    def _reject_repeated_id(self, spec: RequestSpec, reply: Reply) -> bool:
        """Claim the id of a request. Returns whether the request has been rejected for its id."""
        dispatcher = self.dispatcher
        claim = dispatcher.claim_id(spec)
        if claim is ClaimResult.GRANTED:
            return False
        if claim is ClaimResult.UNKNOWN:
            dispatcher.record_rejection(spec.request_class, ID_UNKNOWN)
            retry_after = retry_after_headers(dispatcher.deployment.router.max_retry_after)
            reply.answer(503, (*TEXT_HEADERS, *retry_after), b"refused: trying again is harmless\n")
            return True
        dispatcher.counters.rejected += 1
        reply.reject(409, TEXT_HEADERS, REPEATED_ID_BODIES[claim])
        return True


def _payload(request_id: str, message: RequestMessage) -> Payload:
    headers = message.headers
    return Payload(
        request_id,
        message.method,
        message.target,
        message.body,
        headers.get("content-type", "application/json"),
        headers.get("idempotency-key", ""),
    )
