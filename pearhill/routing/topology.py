"""Replicas as the endpoint list describes them: roles, phases, machine kinds and endpoint entries.

Times are integer microseconds, memory is counted in tokens.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Role(enum.StrEnum):
    """A replica's role: prefill replicas process prompts, decode replicas stream answers, mixed ones do both."""

    PREFILL = "reader"
    DECODE = "writer"
    MIXED = "mixed"


class Phase(enum.StrEnum):
    """The phase of a replica in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MachineKind:
    """One kind of machine: its role, and the number of tokens that its memory holds."""

    role: Role
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One replica in the endpoint list.

    `kind` is an index into `RouterSettings.kinds`. `weight` is its capacity relative to its peers (0: the same as
    theirs). `started_at` is 0 if its last start is long past.
    """

    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    weight: float
    started_at: int
