"""Sample messages for the tests."""

from __future__ import annotations

from pearhill.membership.aggregation_messages import (
    Report,
)


def report(number: int = 1, **changed: object) -> Report:
    """Returns a report of d0 to a0 with the given fields changed."""
    fields = {
        "sender": "d0",
        "to": "a0",
        "incarnation": 5,
        "sequence": number,
        "number": number,
        "part": 0,
        "parts": 1,
        "attach": 1,
        "quiet_ms": 60_000,
        "leaving": False,
        "known_incarnation": 0,
        "known_version": 0,
        "first_slot": 0,
        "loads": b"\0",
        "waits": b"\0",
        "unassigned": (),
        "slot_count": 0,
        "echo": -1,
    }
    return Report(**fields | changed)  # type: ignore[arg-type]
