"""Tasks that are referenced until they end, and whose failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Tasks:
    """A group of tasks of one kind; `kind` names it in the log."""

    def __init__(self, loop: asyncio.AbstractEventLoop, kind: str) -> None:
        self._loop = loop
        self._kind = kind
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task and keep a reference to it: the event loop has only weak references to tasks, and a task without
        any other could be garbage-collected before it ends."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error:
            logger.opt(exception=error).error("{} failed", self._kind)

    async def wait_all(self) -> None:
        """Wait until the tasks that run now have ended, whether they succeed, fail or are cancelled."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
