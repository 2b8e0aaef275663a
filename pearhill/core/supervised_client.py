"""Contains the exceptions of a request's client: none leaves the request without an end, or the core without its call.

The core marks a request as ended before it gives the client its answer, so that nothing else would end an answer whose
client raises an exception in that call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from pearhill.core.client import Client
from pearhill.counters import Counters


class SupervisedClient:
    """A `Client` that passes each call on to another one, and abandons its answer if the call raises an exception.

    `id` is the client's id of the request, for the log.
    """

    def __init__(self, client: Client, counters: Counters, id: str) -> None:
        self._client = client
        self._counters = counters
        self._id = id

    def reject(self, retry_after: int) -> None:
        """See `Client.reject`."""
        self._call(lambda: self._client.reject(retry_after))

    def fail(self) -> None:
        """See `Client.fail`."""
        self._call(self._client.fail)

    def decline(self, replica_error: Any) -> None:
        """See `Client.decline`."""
        self._call(lambda: self._client.decline(replica_error))

    async def forward(self, data: bytes) -> None:
        """See `Client.forward`. An exception is raised again, since the attempt has to end too."""
        try:
            await self._client.forward(data)
        except Exception as error:
            self._record_fault(error)
            self.abandon()
            raise

    def finish(self) -> None:
        """See `Client.finish`."""
        self._call(self._client.finish)

    def abort(self) -> None:
        """See `Client.abort`."""
        self._call(self._client.abort)

    def abandon(self) -> None:
        """See `Client.abandon`."""
        try:
            self._client.abandon()
        except Exception as error:
            self._record_fault(error)

    def has_disconnected(self) -> bool:
        """See `Client.has_disconnected`. A client that cannot tell is abandoned, so nothing is begun for it."""
        try:
            return self._client.has_disconnected()
        except Exception as error:
            self._record_fault(error)
            self.abandon()
            return True

    def has_unread_input(self) -> bool:
        """See `Client.has_unread_input`. A client that cannot tell counts as one with unread input."""
        try:
            return self._client.has_unread_input()
        except Exception as error:
            self._record_fault(error)
            return True

    def _call(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:
            self._record_fault(error)
            self.abandon()

    def _record_fault(self, error: Exception) -> None:
        self._counters.faults += 1
        logger.opt(exception=error).error("fault id={id}: the client of the request failed", id=self._id)
