"""The loop on standard input and output: one Router for each instance, translation only."""

from __future__ import annotations

import json
import sys
from typing import Any, BinaryIO

from pearhill import interface as i
from pearhill import wire
from pearhill.rules import Router

ROLES = {"read": i.READER, "write": i.WRITER, "both": i.MIXED}
EFFECTS = {"read_like": i.SAFE, "idempotency_key": i.KEYED, "non_idempotent": i.UNSAFE}


def settings_of(raw: bytes) -> tuple[i.Settings, tuple[int, int]]:
    """The settings, and where the two load values stand in a report (-1: not reported)."""
    try:
        s: dict[str, Any] = json.loads(raw)
        extra, allowed, rules = s["extra"], s["allowed"], s["rules"]
        n = len(s["classes"])
        per_k = extra.get("aim-us-per-1000-prompt-tokens") or [0.0] * n
        pace = extra.get("token-aim") or [0.0] * n
        classes = tuple(
            i.ClassSpec(int(c["aim"]), float(per_k[k]), int(c["deadline"]), float(c["worth"]),
                        float(c.get("late-worth", 0)), EFFECTS.get(c["effect"], c["effect"]),
                        c.get("group", "all"), int(c.get("window", 0)), float(pace[k]))
            for k, c in enumerate(s["classes"]))
        kinds = tuple(i.KindSpec(ROLES.get(role, role), int(memory)) for role, memory in zip(
            extra["role-by-kind"], extra["tokens-by-kind"], strict=True))
        columns = s.get("report", {}).get("columns", [])
        load_at = tuple(columns.index(name) if name in columns else -1 for name in ("x0", "x1"))
        return i.Settings(
            instances=int(s["n-instances"]), zone=int(s["zone"]), classes=classes, kinds=kinds,
            quotas=tuple(float(t["quota-rps"]) for t in s.get("tenants", [])),
            over_share_worth=float(s.get("over-share-worth", 1)),
            release_within=int(extra["release-within"]), local_read=bool(extra["local-read"]),
            may_cancel=bool(allowed["may-cancel"]), second_copies=bool(allowed["second-copies"]),
            may_move=bool(extra.get("resume", False)), retry_hints=bool(allowed.get("retry-after", False)),
            max_retry_after=int(allowed.get("max-retry-after", 0)),
            max_attempts=int(allowed["max-attempts"]), cold=int(rules["cold"]),
            cold_from=float(rules["cold-from"]), fall=int(rules["fall"]),
            fall_multiple=float(rules["fall-multiple"]), tick=int(s["tick"])), (load_at[0], load_at[1])
    except KeyError as e:
        raise wire.WireError(f"settings: {e.args[0]} is missing") from None
    except (ValueError, TypeError, IndexError, AttributeError) as e:
        raise wire.WireError(f"settings: {e}") from None


class Adapter:
    """The routers of one process."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.load_at: dict[int, tuple[int, int]] = {}

    def _columns(self, instance: int) -> tuple[int, int]:
        return self.load_at.get(instance, (-1, -1))

    def answer(self, frame: wire.Frame) -> bytes:
        actions: list[tuple[int, i.Action | wire.Fault]] = []
        for who, event in frame.events:
            if isinstance(event, wire.Start):
                settings, self.load_at[who] = settings_of(event.settings)
                self.routers[who] = Router(settings, event.seed)
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
