"""The chat API between dispatcher and replicas: builds requests to replicas and interprets their error responses."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from loguru import logger

from pearhill.chat.errors import ApiError, ErrorType, ReplicaErrorResponse
from pearhill.chat.meter import UsageMeter
from pearhill.chat.replica_stream import ChatStream
from pearhill.chat.schema.chunks import ServerError
from pearhill.http1 import messages
from pearhill.net.dialect import Verdict
from pearhill.routing.outcomes import Outcome

PATH = "/v1/chat/completions"
HOST = "pearhill"
DEFAULT_RETRY_AFTER_US = 1_000_000  # after a 429 without a valid Retry-After
MAX_RETRY_AFTER_US = 60_000_000  # upper limit for the Retry-After of a 429
REQUEST_FAULT_STATUSES = frozenset((400, 404, 413, 422))  # with an error object of the API, the request is at fault
CREDENTIAL_STATUSES = frozenset((401, 403))  # the replica does not accept this dispatcher's key
_error_decoder: msgspec.json.Decoder[ServerError] = msgspec.json.Decoder(ServerError)
_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")
_MILLISECONDS = re.compile(r"\d{1,12}(\.\d{1,9})?")


@dataclass(frozen=True, slots=True)
class ChatPayload:
    """A chat request as a replica receives it, and how its answer is read.

    `body` is JSON that requests a stream with a usage event, which tells the router how much of the prompt was cached.
    `wants_usage` says whether that event is forwarded to the client. `max_answer_bytes` limits the answer's stream.
    """

    id: str
    body: bytes
    wants_usage: bool
    max_answer_bytes: int = 4 << 20
    meter: UsageMeter | None = None


@dataclass
class ChatDialect:
    """Builds requests to replicas and interprets their responses, for `pearhill.net`.

    `replica_keys` has API keys by replica. `default_key` is the key for all other replicas; if it is empty, they are
    sent no key.
    """

    replica_keys: Mapping[int, str] = field(default_factory=dict)
    default_key: str = ""

    def request(self, payload: ChatPayload, replica: int, remaining_ms: int) -> bytes:
        """Returns the request of an attempt. `remaining_ms` is the time until the client's deadline."""
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(remaining_ms)),
            ("Content-Type", "application/json"),
            ("Accept", "text/event-stream"),
            *self._authorization(replica),
        ]
        return messages.request("POST", PATH, HOST, headers, payload.body)

    def health_check(self) -> bytes:
        """Returns the request to a replica's health endpoint.

        The API has no endpoint for load queries, and no setting of this front end needs one.
        """
        return messages.request("GET", "/health", HOST)

    def load(self, status: int, body: bytes) -> None:
        """Returns None for any answer: the health endpoint reports no load."""
        return None

    def release(self, payload: ChatPayload, replica: int) -> bytes:
        """Returns the request that releases the state that a prefill replica holds for a client's request."""
        return messages.request("DELETE", f"/state/{payload.id}", HOST, self._authorization(replica))

    def stream(self, payload: ChatPayload) -> ChatStream:
        """Returns a reader for the response to this request."""
        return ChatStream(payload.wants_usage, payload.max_answer_bytes, payload.meter)

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Returns whether a 200 with these headers has an event stream as its body.

        A response without a content type counts as an event stream.
        """
        content_type = headers.get("content-type", "text/event-stream").partition(";")[0]
        return content_type.strip().lower() == "text/event-stream"

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        """Returns what a response other than 200 and 202 means.

        Returns None if it means the same as in the platform's protocol.
        """
        if status in REQUEST_FAULT_STATUSES:
            return _request_fault(status, body)
        if status == 429:
            return Verdict(Outcome.FULL, retry_after=retry_after_us(headers))
        if status in CREDENTIAL_STATUSES:
            return _credential_fault(status)
        return None

    def _authorization(self, replica: int) -> list[tuple[str, str]]:
        key = self.replica_keys.get(replica, self.default_key)
        return [("Authorization", f"Bearer {key}")] if key else []


def retry_after_us(headers: Mapping[str, str]) -> int:
    """Returns for how many microseconds no further request may be sent after a 429.

    `Retry-After-Ms` takes precedence over `Retry-After` (RFC 9110). A date in `Retry-After` is ignored, because the
    clocks of replica and dispatcher may differ.
    """
    milliseconds = headers.get("retry-after-ms", "")
    seconds = headers.get("retry-after", "")
    if _MILLISECONDS.fullmatch(milliseconds):
        retry_after = int(float(milliseconds) * 1e3)
    elif _SECONDS.fullmatch(seconds):
        retry_after = int(float(seconds) * 1e6)
    else:
        return DEFAULT_RETRY_AFTER_US
    return min(max(retry_after, 1), MAX_RETRY_AFTER_US)


def _request_fault(status: int, body: bytes) -> Verdict | None:
    try:
        _error_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None  # no error object of the API: an intermediary may have sent it, so that the request may be valid
    return Verdict(Outcome.DECLINED, replica_error=ReplicaErrorResponse(status, body))


def _credential_fault(status: int) -> Verdict:
    logger.error(
        "chat: a replica answered {status}: its API key in the operator's file is wrong or missing", status=status
    )
    error = ApiError(
        502,
        "The server did not let this service in; its operators have been told.",
        "server_credentials",
        type=ErrorType.SERVER,
    )
    return Verdict(Outcome.ERROR, replica_error=ReplicaErrorResponse(error.status, error.body()))
