"""Answers the simulator's frames on standard input and output, with one router for each simulated dispatcher.

The adapter only translates frames and runs the routers; all decisions are made by the routers.
"""

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

MALFORMED_INPUT_EXIT_STATUS = 2


def parse_settings(raw: bytes) -> tuple[RouterSettings, wire.LoadPositions]:
    """Returns the router's settings, and the positions of the two load values in a report.

    Raises WireError if the settings are invalid.
    """
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

    def _get_load_positions(self, instance: int) -> wire.LoadPositions:
        return self.load_positions.get(instance, (wire.NOT_REPORTED, wire.NOT_REPORTED))

    def process_frame(self, frame: wire.Frame) -> bytes:
        """Handle a frame's events. Returns the reply.

        Raises WireError if the frame has invalid settings or an event for an instance that was never started.
        """
        actions: list[tuple[int, Action | wire.Fault]] = []
        for instance, event in frame.events:
            if isinstance(event, wire.Start):
                router_settings, self.load_positions[instance] = parse_settings(event.settings)
                self.routers[instance] = LoadAwareRouter(router_settings, event.seed)
            elif isinstance(event, wire.Halt):
                self.routers.pop(instance, None)
            elif instance not in self.routers:
                raise wire.WireError(f"frame {frame.seq}: instance {instance} was never started")
            else:
                actions += [(instance, action) for action in self._handle(instance, frame.clock, event)]
        return wire.encode_reply(frame.seq, actions)

    def _handle(self, instance: int, clock: int, event: Event) -> list[Action | wire.Fault]:
        """Returns the actions of an instance's router for an event, or a `Fault` if the router raises an exception."""
        try:
            return list(self.routers[instance].handle(clock, event))
        except Exception as e:
            return [wire.Fault(f"{type(e).__name__}: {e}")]

    def run(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Answer frames until the end of input. Raises WireError if a frame is malformed."""
        while (frame := wire.read_frame(source, self._get_load_positions)) is not None:
            sink.write(self.process_frame(frame))
            sink.flush()


def main() -> int:
    """Run the process. Returns its exit status: 0 at the end of input, 2 if the input is malformed.

    Malformed input is reported in one line on standard error.
    """
    try:
        Adapter().run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return MALFORMED_INPUT_EXIT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
