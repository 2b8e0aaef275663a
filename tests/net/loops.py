"""The event loop on which asynchronous test cases run."""

import asyncio
import unittest
from collections.abc import Callable

import uvloop


class UvloopTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case on uvloop, the program's event loop; a subclass may set another loop."""

    loop_factory: Callable[[], asyncio.AbstractEventLoop] = staticmethod(uvloop.new_event_loop)

    def _setupAsyncioRunner(self) -> None:  # noqa: N802 (unittest calls it by this name)
        self._asyncioRunner = asyncio.Runner(loop_factory=self.loop_factory)
