"""What is said to servers that speak the chat API, when their streams can be trusted, and what their refusals mean."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from loguru import logger

from pearhill.chat.collected import DONE
from pearhill.chat.errors import ApiError, ErrorType, ReplicaErrorResponse
from pearhill.chat.meter import UsageMeter
from pearhill.chat.schema.chat import Chunk, ServerError
from pearhill.http1 import messages
from pearhill.http1.sse import EventParser, EventStreamError
from pearhill.net.dialect import Verdict
from pearhill.net.errors import MalformedResponseError
from pearhill.routing.outcomes import Outcome

PATH = "/v1/chat/completions"
HOST = "pearhill"
REST, LONGEST_REST = 1_000_000, 60_000_000  # after a 429 that names no time; at most, whatever it names
THEIRS = frozenset((400, 404, 413, 422))  # the request itself is at fault, by the server's word
BARRED = frozenset((401, 403))  # the server does not let this dispatcher in
_chunk: msgspec.json.Decoder[Chunk] = msgspec.json.Decoder(Chunk)
_error: msgspec.json.Decoder[ServerError] = msgspec.json.Decoder(ServerError)
_SECONDS, _MILLIS = re.compile(r"\d{1,9}(\.\d{1,9})?"), re.compile(r"\d{1,12}(\.\d{1,9})?")


@dataclass(frozen=True, slots=True)
class ChatPayload:
    """What a server gets of a chat request."""

    id: str
    body: bytes  # always asks for a stream with its usage: the router learns from it what was kept
    wants_usage: bool  # whether the usage event goes on to the client's words
    most: int = 4 << 20  # bytes that the answer's stream may have
    meter: UsageMeter | None = None  # is told what the stream shows of its use


class ChatStream:
    """Passes on whole events that make sense, unchanged, and is whole with `[DONE]`."""

    def __init__(self, wants_usage: bool, most: int, meter: UsageMeter | None = None) -> None:
        self.cached_tokens, self._whole, self._chunks = 0, False, 0
        self._wants_usage, self._room = wants_usage, most
        self._parser = EventParser()
        self._meter = meter
        if meter:
            meter.restart()

    @property
    def whole(self) -> bool:
        return self._whole

    def feed(self, data: bytes) -> bytes:
        if self._whole:
            raise MalformedResponseError("events after the last one")
        ready = []
        try:
            for event in self._parser.feed(data):
                if event.data is None:
                    continue  # a comment: it keeps the connection alive and tells nothing
                if event.data == DONE:
                    if not self._chunks:
                        raise MalformedResponseError("an end without an answer")
                    self._whole = True
                    ready.append(event.raw)
                    break  # whatever stands behind it is nobody's
                elif not self._read(_chunk.decode(event.data)):
                    continue
                ready.append(event.raw)
        except EventStreamError as e:
            raise MalformedResponseError(str(e)) from None
        except msgspec.ValidationError as e:
            raise MalformedResponseError(f"an event is no chunk of an answer: {e}") from None
        except (msgspec.DecodeError, RecursionError):
            raise MalformedResponseError("an event is no JSON") from None
        passed = b"".join(ready)
        self._room -= len(passed)
        if self._room < 0:  # Danger: what must be kept for repeats would grow for as long as a server likes.
            raise MalformedResponseError("the answer is too large")
        return passed

    def _read(self, chunk: Chunk) -> bool:
        """Whether the client is to see this chunk."""
        if chunk.error is not msgspec.UNSET and chunk.error is not None:
            raise MalformedResponseError("the server reports an error in its stream")
        if chunk.usage is not None:
            details = chunk.usage.prompt_tokens_details
            self.cached_tokens = details.cached_tokens or self.cached_tokens if details else self.cached_tokens
            if self._meter:
                self._meter.record_usage(chunk.usage.prompt_tokens, self.cached_tokens, chunk.usage.completion_tokens)
        if chunk.choices:
            self._chunks += 1
            if self._meter:
                self._meter.count_event()
            return True
        return self._wants_usage

    def ends_well(self) -> bool:
        return self._whole


def rest_of(headers: Mapping[str, str]) -> int:
    """For how long a 429 asks to be left alone, in microseconds. A date is no figure here: clocks differ."""
    if _MILLIS.fullmatch(millis := headers.get("retry-after-ms", "")):
        rest = int(float(millis) * 1e3)
    elif _SECONDS.fullmatch(seconds := headers.get("retry-after", "")):
        rest = int(float(seconds) * 1e6)
    else:
        rest = REST
    return min(max(rest, 1), LONGEST_REST)


@dataclass
class ChatDialect:
    """`keys` are the servers' own, by engine; `key` is for those that have none of their own."""

    keys: Mapping[int, str] = field(default_factory=dict)
    key: str = ""

    def _authorization(self, engine: int) -> list[tuple[str, str]]:
        key = self.keys.get(engine, self.key)
        return [("Authorization", f"Bearer {key}")] if key else []

    def request(self, payload: ChatPayload, engine: int, wait_ms: int) -> bytes:
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(wait_ms)),
            ("Content-Type", "application/json"),
            ("Accept", "text/event-stream"),
            *self._authorization(engine),
        ]
        return messages.request("POST", PATH, HOST, headers, payload.body)

    def health_check(self) -> bytes:
        """Nothing of the API tells a server's load: settings for it never ask (`Settings.probing`)."""
        return messages.request("GET", "/health", HOST)

    def load(self, status: int, body: bytes) -> None:
        return None

    def release(self, payload: ChatPayload, engine: int) -> bytes:
        return messages.request("DELETE", f"/state/{payload.id}", HOST, self._authorization(engine))

    def stream(self, payload: ChatPayload) -> ChatStream:
        return ChatStream(payload.wants_usage, payload.most, payload.meter)

    def accepts(self, headers: Mapping[str, str]) -> bool:
        kind = headers.get("content-type", "text/event-stream").partition(";")[0]
        return kind.strip().lower() == "text/event-stream"

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        if status in THEIRS:
            try:
                _error.decode(body)
            except (msgspec.DecodeError, RecursionError):
                return None  # not in the API's words: it may come from anywhere, and proves nothing
            return Verdict(Outcome.DECLINED, replica_error=ReplicaErrorResponse(status, body))
        if status == 429:
            return Verdict(Outcome.FULL, retry_after=rest_of(headers))
        if status in BARRED:
            logger.error(
                "a server answers {status}: its key in the operator's file is wrong, or missing", status=status
            )
            error = ApiError(
                502,
                "The server did not let this service in; its operators have been told.",
                "server_credentials",
                type=ErrorType.SERVER,
            )
            return Verdict(Outcome.ERROR, replica_error=ReplicaErrorResponse(error.status, error.body()))
        return None
