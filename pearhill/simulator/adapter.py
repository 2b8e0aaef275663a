"""The loop on standard input and output: one Router for each instance, translation only."""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

from pearhill import settings
from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import Action
from pearhill.routing.settings import RouterSettings
from pearhill.simulator import wire


def settings_of(raw: bytes) -> tuple[RouterSettings, tuple[int, int]]:
    """The settings, and where the two load values stand in a report (-1: not reported)."""
    try:
        deployment = settings.parse(json.loads(raw))
    except ValueError as e:
        raise wire.WireError(f"settings: {e}") from None
    return deployment.router, deployment.load_positions


class Adapter:
    """The routers of one process."""

    def __init__(self) -> None:
        self.routers: dict[int, LoadAwareRouter] = {}
        self.load_at: dict[int, tuple[int, int]] = {}

    def _columns(self, instance: int) -> tuple[int, int]:
        return self.load_at.get(instance, (-1, -1))

    def answer(self, frame: wire.Frame) -> bytes:
        actions: list[tuple[int, Action | wire.Fault]] = []
        for who, event in frame.events:
            if isinstance(event, wire.Start):
                told, self.load_at[who] = settings_of(event.settings)
                self.routers[who] = LoadAwareRouter(told, event.seed)
            elif isinstance(event, wire.Halt):
                self.routers.pop(who, None)
            elif who not in self.routers:
                raise wire.WireError(f"frame {frame.seq}: instance {who} was never started")
            else:
                try:
                    actions += [(who, a) for a in self.routers[who].handle(frame.clock, event)]
                except Exception as e:
                    actions.append((who, wire.Fault(f"{type(e).__name__}: {e}")))
        return wire.encode_reply(frame.seq, actions)

    def run(self, source: BinaryIO, sink: BinaryIO) -> None:
        while (frame := wire.read_frame(source, self._columns)) is not None:
            sink.write(self.answer(frame))
            sink.flush()


def main() -> int:
    try:
        Adapter().run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
