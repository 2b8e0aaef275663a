"""Validates the event stream of a replica that serves the chat API, and selects the events to forward."""

from __future__ import annotations

import msgspec

from pearhill.chat.collected import DONE
from pearhill.chat.meter import UsageMeter
from pearhill.chat.schema.chunks import Chunk, Usage
from pearhill.http1.sse import EventParser, EventStreamError, ServerEvent
from pearhill.net.errors import MalformedResponseError

_chunk_decoder: msgspec.json.Decoder[Chunk] = msgspec.json.Decoder(Chunk)


class ChatStream:
    """Forwards events that are well-formed chunks, unchanged, until `[DONE]` completes the stream.

    `wants_usage` says whether the usage event is forwarded. `max_bytes` limits the total size of forwarded events.
    `meter` counts tokens.
    """

    def __init__(self, wants_usage: bool, max_bytes: int, meter: UsageMeter | None = None) -> None:
        self.cached_tokens = 0
        self._is_complete = False
        self._chunk_count = 0
        self._wants_usage = wants_usage
        self._bytes_left = max_bytes
        self._parser = EventParser()
        self._meter = meter
        if meter:
            meter.restart()

    @property
    def buffered_bytes(self) -> int:
        """Returns the size in bytes of the incomplete event that waits for its end."""
        return self._parser.buffered_bytes

    @property
    def complete(self) -> bool:
        """Whether `[DONE]` has been received."""
        return self._is_complete

    def feed(self, data: bytes) -> bytes:
        """Returns the complete events to forward.

        Raises MalformedResponseError if the stream has an invalid event or is too large.
        """
        if self._is_complete:
            raise MalformedResponseError("event stream: data after [DONE]")
        try:
            forwarded = self._forwarded_events(data)
        except EventStreamError as e:
            raise MalformedResponseError(str(e)) from None
        except msgspec.ValidationError as e:
            raise MalformedResponseError(f"event stream: an event is not a valid chunk: {e}") from None
        except (msgspec.DecodeError, RecursionError):
            raise MalformedResponseError("event stream: an event is not valid JSON") from None
        self._bytes_left -= len(forwarded)
        if self._bytes_left < 0:
            # Without this limit, an answer that is stored for repeats could take any amount of memory.
            raise MalformedResponseError("event stream: the answer exceeds max_answer_bytes")
        return forwarded

    def may_end(self) -> bool:
        """Returns whether the response may end at this point."""
        return self._is_complete

    def _forwarded_events(self, data: bytes) -> bytes:
        """Returns the raw events to forward, up to and including `[DONE]`. Later events are not part of the answer."""
        forwarded = []
        for event in self._parser.feed(data):
            if self._is_forwarded(event):
                forwarded.append(event.raw)
            if self._is_complete:
                break
        return b"".join(forwarded)

    def _is_forwarded(self, event: ServerEvent) -> bool:
        if event.data is None:
            return False  # a comment, sent to keep the connection open
        if event.data != DONE:
            return self._read_chunk(_chunk_decoder.decode(event.data))
        if not self._chunk_count:
            raise MalformedResponseError("event stream: [DONE] without any chunk of an answer")
        self._is_complete = True
        return True

    def _read_chunk(self, chunk: Chunk) -> bool:
        """Count a chunk. Returns whether it is to be forwarded."""
        if chunk.error is not msgspec.UNSET and chunk.error is not None:
            raise MalformedResponseError("event stream: the replica reported an error")
        if chunk.usage is not None:
            self._read_usage(chunk.usage)
        if not chunk.choices:
            return self._wants_usage
        self._chunk_count += 1
        if self._meter:
            self._meter.count_event()
        return True

    def _read_usage(self, usage: Usage) -> None:
        details = usage.prompt_tokens_details
        if details and details.cached_tokens:
            self.cached_tokens = details.cached_tokens
        if self._meter:
            self._meter.record_usage(usage.prompt_tokens, self.cached_tokens, usage.completion_tokens)
