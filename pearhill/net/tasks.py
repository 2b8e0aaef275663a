"""Tasks that are held until they end, and whose failures are seen."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Tasks:
    def __init__(self, loop: asyncio.AbstractEventLoop, what: str) -> None:
        self._loop, self._what = loop, what
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Danger: the loop itself holds tasks weakly, and one that nobody holds may vanish half-way."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            logger.opt(exception=error).error("{} failed", self._what)

    async def all_ended(self) -> None:
        await asyncio.gather(*self._tasks, return_exceptions=True)
