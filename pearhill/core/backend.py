"""The interface through which the core sends attempts to the replicas."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from pearhill.core.request import Attempt, Request


class Backend(Protocol):
    """Sends attempts to replicas. It calls `Attempt.end` once for each attempt, except after `cancel`."""

    def send(self, attempt: Attempt) -> None:
        """Write the attempt's request, if `Attempt.may_start` allows it right before its first byte."""

    def cancel(self, attempt: Attempt) -> bool:
        """Close the attempt's connection before returning.

        Returns False if the replica certainly did not receive the complete request.
        """

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """Return whether any byte of the attempt may have been written."""

    def check_health(self, replica: int) -> None:
        """Query a replica's load. `Dispatcher.health_check_ended` is called once with the result."""

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release the state that the replicas may hold for the request, with retries."""

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release the state once, without retries, while the attempt that fetches it is in flight.

        That attempt may never have arrived. If it has arrived, the replicas release nothing.
        """
