"""The loop on standard input and output: one router for each instance, translation only."""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

from pearhill import settings
from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import Action
from pearhill.routing.events import Event
from pearhill.routing.settings import RouterSettings
from pearhill.simulator import wire

MALFORMED_INPUT_STATUS = 2  # of the process


def settings_of(raw: bytes) -> tuple[RouterSettings, wire.LoadPositions]:
    """The router's settings, and where the two load values stand in a report. WireError: they cannot be read."""
    try:
        deployment = settings.parse(json.loads(raw))
    except ValueError as e:
        raise wire.WireError(f"settings: {e}") from None
    return deployment.router, deployment.load_positions


class Adapter:
    """The routers of one process, by instance."""

    def __init__(self) -> None:
        self.routers: dict[int, LoadAwareRouter] = {}
        self.load_positions: dict[int, wire.LoadPositions] = {}

    def _load_positions(self, instance: int) -> wire.LoadPositions:
        return self.load_positions.get(instance, (wire.NOT_REPORTED, wire.NOT_REPORTED))

    def answer(self, frame: wire.Frame) -> bytes:
        """Handle a frame's events; returns the reply. WireError: the frame makes no sense."""
        actions: list[tuple[int, Action | wire.Fault]] = []
        for instance, event in frame.events:
            if isinstance(event, wire.Start):
                router_settings, self.load_positions[instance] = settings_of(event.settings)
                self.routers[instance] = LoadAwareRouter(router_settings, event.seed)
            elif isinstance(event, wire.Halt):
                self.routers.pop(instance, None)
            elif instance not in self.routers:
                raise wire.WireError(f"frame {frame.seq}: instance {instance} was never started")
            else:
                actions += [(instance, action) for action in self._handle(instance, frame.clock, event)]
        return wire.encode_reply(frame.seq, actions)

    def _handle(self, instance: int, clock: int, event: Event) -> list[Action | wire.Fault]:
        """What an instance's router does upon an event: its actions, or the fault in which it ended."""
        try:
            return list(self.routers[instance].handle(clock, event))
        except Exception as e:
            return [wire.Fault(f"{type(e).__name__}: {e}")]

    def run(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Answer frames until the end of input."""
        while (frame := wire.read_frame(source, self._load_positions)) is not None:
            sink.write(self.answer(frame))
            sink.flush()


def main() -> int:
    """The process: 0 at the end of input, 2 with one line on standard error if the input is malformed."""
    try:
        Adapter().run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return MALFORMED_INPUT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
