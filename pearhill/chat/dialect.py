"""The chat API as replicas speak it: the requests that they are sent, and what their error responses mean."""

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
DEFAULT_RETRY_AFTER_US = 1_000_000  # after a 429 that names no time
MAX_RETRY_AFTER_US = 60_000_000  # whatever time a 429 names
REQUEST_FAULT_STATUSES = frozenset((400, 404, 413, 422))  # by the replica's error object, the request is at fault
CREDENTIAL_STATUSES = frozenset((401, 403))  # the replica does not accept this dispatcher's key
_error_decoder: msgspec.json.Decoder[ServerError] = msgspec.json.Decoder(ServerError)
_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")
_MILLISECONDS = re.compile(r"\d{1,12}(\.\d{1,9})?")


@dataclass(frozen=True, slots=True)
class ChatPayload:
    """What a replica is sent of a chat request, and how its answer is read.

    `body`: JSON that requests a stream with its usage event, from which the router learns how much of the prompt was
    cached; `wants_usage`: whether that event is forwarded; `max_answer_bytes`: of the answer's stream.
    """

    id: str
    body: bytes
    wants_usage: bool
    max_answer_bytes: int = 4 << 20
    meter: UsageMeter | None = None


@dataclass
class ChatDialect:
    """Requests to replicas, and the meaning of their responses, for `pearhill.net`.

    `replica_keys`: API keys by replica; `default_key`: for replicas without a key of their own, empty: none.
    """

    replica_keys: Mapping[int, str] = field(default_factory=dict)
    default_key: str = ""

    def request(self, payload: ChatPayload, replica: int, remaining_ms: int) -> bytes:
        """An attempt's request; `remaining_ms`: the client's time that is left."""
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(remaining_ms)),
            ("Content-Type", "application/json"),
            ("Accept", "text/event-stream"),
            *self._authorization(replica),
        ]
        return messages.request("POST", PATH, HOST, headers, payload.body)

    def health_check(self) -> bytes:
        """The call to a replica's health endpoint. The API has none for the load: settings for it never need one."""
        return messages.request("GET", "/health", HOST)

    def load(self, status: int, body: bytes) -> None:
        """None, whatever the answer: it reports no load."""
        return None

    def release(self, payload: ChatPayload, replica: int) -> bytes:
        """The call that releases the state that a prefill replica holds for a request."""
        return messages.request("DELETE", f"/state/{payload.id}", HOST, self._authorization(replica))

    def stream(self, payload: ChatPayload) -> ChatStream:
        """What reads the response to this request."""
        return ChatStream(payload.wants_usage, payload.max_answer_bytes, payload.meter)

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Whether a 200 with these headers has an event stream as its body, as it has without a content type."""
        content_type = headers.get("content-type", "text/event-stream").partition(";")[0]
        return content_type.strip().lower() == "text/event-stream"

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        """What a response other than 200 and 202 means. None: as the platform's protocol has it."""
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
    """For how many microseconds no further request may follow a 429.

    `Retry-After-Ms` comes before `Retry-After` (RFC 9110). A date in the latter is not used: clocks differ.
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
        return None  # no error object of the API: it may come from anything on the way, and proves nothing
    return Verdict(Outcome.DECLINED, replica_error=ReplicaErrorResponse(status, body))


def _credential_fault(status: int) -> Verdict:
    logger.error("a server answers {status}: its key in the operator's file is wrong, or missing", status=status)
    error = ApiError(
        502,
        "The server did not let this service in; its operators have been told.",
        "server_credentials",
        type=ErrorType.SERVER,
    )
    return Verdict(Outcome.ERROR, replica_error=ReplicaErrorResponse(error.status, error.body()))
