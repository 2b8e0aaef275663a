"""What the core requires of the driver that reaches the replicas."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from pearhill.core.request import Attempt, Request


class Backend(Protocol):
    """The way to the replicas. It calls `Attempt.end` once for each attempt, except after `cancel`."""

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's request, if `Attempt.may_start` allows it right before its first byte."""

    def cancel(self, attempt: Attempt) -> bool:
        """Close the attempt's connection before returning.

        False: the replica surely never had the complete request.
        """

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """Whether any byte of the attempt may have been written."""

    def check_health(self, replica: int) -> None:
        """Query a replica's load; `Dispatcher.health_check_ended` is called once with the result."""

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release what the replicas may hold for the request, with retries."""

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release it once while an attempt is out that may never have arrived. Where it has, nothing is released."""
