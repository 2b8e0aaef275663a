"""Runs the program, or with the argument `asgi FD` the example application, and raises exceptions in it on command.

The places where an exception can be raised are found while the program runs: each timer that fires, each wait of each
task, and each call of a class that implements a protocol of the request's way. Commands on standard input:

    raise PLACE   raises an exception once, the next time PLACE is reached; none with an empty PLACE
    places        prints the places that were reached up to now, as JSON

Each command is confirmed on standard error.
"""

import functools
import importlib
import inspect
import json
import os
import pkgutil
import runpy
import sys
import threading
import types
from collections.abc import Callable, Coroutine, Generator
from typing import Any

import uvicorn

import pearhill
from pearhill.core.client import Client
from pearhill.core.deadlines import Deadlines
from pearhill.core.supervised_client import SupervisedClient
from pearhill.http1.handler import Handler, Pending, Reply
from pearhill.http1.response_writer import ResponseWriter
from pearhill.net.exchange import Exchange
from pearhill.net.tasks import Tasks

PROTOCOLS = (Client, Exchange, Handler, Pending, Reply)
# They contain the exceptions of others. One raised in them by nobody else is a fault of the core itself.
SUPERVISORS = (SupervisedClient, ResponseWriter)
MAX_WAITS = 3  # of one task, in which an exception is raised
STANDARD_ERROR = 2


class InjectedError(Exception):
    """The exception that is raised."""


class Places:
    """The places that were reached, and the one that raises an exception next."""

    def __init__(self) -> None:
        self.reached: dict[str, None] = {}  # in order
        self.armed = ""

    def reach(self, place: str) -> None:
        """Record a place. Raises InjectedError if it is armed."""
        self.reached.setdefault(place)
        if place == self.armed:
            self.armed = ""
            report(f"raised {place}")
            raise InjectedError(place)


def report(line: str) -> None:
    """Print a line in one call: the program's log thread writes to the same pipe."""
    os.write(STANDARD_ERROR, f"faults: {line}\n".encode())


def raise_in_timers(places: Places) -> None:
    """Make each timer a place, by the name of its callback."""
    schedule_at = Deadlines.schedule_at

    def schedule(self: Deadlines, when: int, callback: Callable[[], None], *arguments: Any) -> Any:
        name = getattr(callback, "__qualname__", None) or repr(getattr(callback, "func", callback))

        def run() -> None:
            places.reach(f"timer {name}")
            callback()

        return schedule_at(self, when, run, *arguments)

    Deadlines.schedule_at = schedule  # type: ignore[method-assign, assignment]


def raise_in_tasks(places: Places) -> None:
    """Make the first waits of each task places, by the name of its coroutine."""
    spawn = Tasks.spawn

    @types.coroutine
    def step(work: Coroutine[Any, Any, None], name: str) -> Generator[Any, Any, None]:
        waits = 0
        resume: Callable[[], Any] = functools.partial(work.send, None)
        while True:
            try:
                awaited = resume()
            except StopIteration:
                return
            waits += 1
            try:
                if waits <= MAX_WAITS:
                    places.reach(f"task {name} wait {waits}")
                resume = functools.partial(work.send, (yield awaited))
            except BaseException as error:
                resume = functools.partial(work.throw, error)

    async def run(work: Coroutine[Any, Any, None]) -> None:
        await step(work, work.__qualname__)

    def spawn_with_places(self: Tasks, work: Coroutine[Any, Any, None]) -> Any:
        return spawn(self, run(work))

    Tasks.spawn = spawn_with_places  # type: ignore[method-assign]


def raise_in_calls(places: Places) -> None:
    """Make the beginning of each call of an implementation of one of PROTOCOLS a place."""
    for module in list(sys.modules.values()):
        if not module.__name__.startswith("pearhill"):
            continue
        for cls in vars(module).values():
            if inspect.isclass(cls) and cls.__module__ == module.__name__ and cls not in SUPERVISORS:
                for protocol in PROTOCOLS:
                    raise_in_methods(places, cls, protocol)


def raise_in_methods(places: Places, cls: type, protocol: type) -> None:
    names = [name for name, value in vars(protocol).items() if inspect.isfunction(value) and name[0] != "_"]
    if getattr(cls, "_is_protocol", False) or not all(callable(getattr(cls, name, None)) for name in names):
        return
    for name in names:
        method = vars(cls).get(name)
        if inspect.isfunction(method) and not hasattr(method, "__wrapped__"):
            setattr(cls, name, with_place(places, f"call {cls.__name__}.{name}", method))


def with_place(places: Places, place: str, method: Callable[..., Any]) -> Callable[..., Any]:
    if inspect.iscoroutinefunction(method):

        @functools.wraps(method)
        async def call_async(*arguments: Any) -> Any:
            places.reach(place)
            return await method(*arguments)

        return call_async

    @functools.wraps(method)
    def call(*arguments: Any, **named: Any) -> Any:
        places.reach(place)
        return method(*arguments, **named)

    return call


def read_commands(places: Places) -> None:
    for line in sys.stdin:
        match line.rstrip("\n").split(" ", 1):
            case ["raise", place]:
                places.armed = place
                report(f"armed {place}")
            case ["places"]:
                report(f"reached {json.dumps(list(places.reached))}")


def main() -> None:
    places = Places()
    for package in pkgutil.walk_packages(pearhill.__path__, "pearhill."):
        if package.name.startswith(("pearhill.chat", "pearhill.platform", "pearhill.net", "pearhill.asgi")):
            importlib.import_module(package.name)
    raise_in_timers(places)
    raise_in_tasks(places)
    raise_in_calls(places)
    threading.Thread(target=read_commands, args=(places,), daemon=True).start()
    if sys.argv[1:2] == ["asgi"]:
        uvicorn.run("examples.starlette_app:app", fd=int(sys.argv[2]))
    else:
        runpy.run_module("pearhill", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
