"""What the core asks of the two sides that it stands between."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from pearhill.core.request import Attempt, Request


class Client(Protocol):
    """Where a request came from. The core calls exactly one of `refuse`, `fail`, `decline`, `finish` and `abort`."""

    def reject(self, retry_after: int) -> None:
        """Final: not done, trying again is harmless, in `stay_away` microseconds (0: no advice)."""

    def fail(self) -> None:
        """Final: failed, nothing is promised."""

    def decline(self, replica_error: Any) -> None:
        """Final: an engine found fault with the request itself, in these words of its dialect."""

    async def forward(self, data: bytes) -> None:
        """A piece of the answer, unchanged; returns when there is room for more."""

    def finish(self) -> None:
        """The answer is whole."""

    def abort(self) -> None:
        """The answer has begun and will not be whole."""

    def has_disconnected(self) -> bool:
        """Whether it has gone, seen now: nothing more is begun for it."""


class Backend(Protocol):
    """The way to the engines. For each attempt it calls `Attempt.end` once, whatever happens, except after `cancel`."""

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's request, if `Attempt.may_begin` says so right before its first byte."""

    def cancel(self, attempt: Attempt) -> bool:
        """Close the attempt's connection before returning. False: the engine surely never had the whole request."""

    def has_started(self, attempt: Attempt) -> bool:
        """Whether any byte of the attempt may have been written."""

    def check_health(self, engine: int) -> None:
        """Ask an engine for its load; `Dispatcher.probed` is called once with what came of it."""

    def release(self, request: Request, engines: Collection[int]) -> None:
        """Let go of what the engines may hold for the request, trying again as need be."""

    def release_unless_fetched(self, request: Request, engines: Collection[int]) -> None:
        """The same while an attempt is out that may never have arrived. Where it has, nothing is let go of."""
