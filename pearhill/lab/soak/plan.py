"""Draws the plan of a run from a seed: settings, a fleet, and a time line of faults that may overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from pearhill.lab.soak.clients import RequestClass
from pearhill.lab.soak.records import IDEMPOTENT, KEYED, NON_IDEMPOTENT
from pearhill.lab.soak.replicas import MISBEHAVIOUR_KINDS
from pearhill.lab.soak.slow_start import PlatformLimits

ZONES = ("north", "south")
FEW_SOCKETS, MANY_SOCKETS = 160, 512  # limits of a dispatcher; few if the plan has a flood that is to use them up
FLOOD_CONNECTIONS = 80  # idle connections, more than the limit admits
REGULAR_RATE = 5.0  # approximate requests per second of all regular clients of a dispatcher
FAULT_KINDS = (
    "terminate",
    "kill",
    "reload",
    "hold",
    "wall",
    "cut",
    "misbehave",
    "restart-replica",
    "drain-replica",
    "silence-agents",
    "resets",
    "fail-calls",
    "pieces",
    "crowd",
    "hang-and-terminate",
)
# Faults that are drawn more often: shutdowns, and faults that coincide with them.
FAULT_WEIGHTS = {"terminate": 4, "hang-and-terminate": 2, "misbehave": 3, "reload": 2}
CALL_ERRORS = (
    ("accept", "ECONNABORTED"),
    ("accept", "ENFILE"),
    ("accept", "ENOBUFS"),
    ("socket", "ENFILE"),
    ("socket", "ENOBUFS"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENETUNREACH"),
    ("write-log", "ENOSPC"),
    ("recv", "EINTR"),
    ("recv", "ENOMEM"),
    ("send", "EINTR"),
    ("send", "ENOBUFS"),
    ("recv-server", "ETIMEDOUT"),
    ("send-server", "EHOSTUNREACH"),
    ("recv-client", "ETIMEDOUT"),
    ("send-client", "EHOSTUNREACH"),
)
CONNECTION_BREAKING_CALLS = (
    "recv-server",
    "send-server",
    "recv-client",
    "send-client",
)  # a connection is lost after such a failure
SIGNAL_SERIES = (
    "plain",
    "twice",
    "reload",
    "report",
    "all",
    "list",
)  # the series of signals or events around a SIGTERM
# What happens while a flood of idle connections uses up the file descriptors.
FLOOD_ONLY, DISCOVERY_IS_DOWN, REPLICAS_ARE_REPLACED, SHUTDOWN = (
    "",
    "discovery is down",
    "replicas are replaced",
    "shutdown",
)
RESUMES, DIES = "resumed", "died"  # how a stopped replica ends
MIN_STOP_S, MAX_STOP_S = 1.5, 8.0
STOPS_SEED = 0x570B  # so that the other random numbers of a plan are those of plans without these faults
MIN_BUSY_DELAY_S, MAX_BUSY_DELAY_S = 0.1, 0.5
BUSY_SEED = 0xB057  # as `STOPS_SEED`
FLOOD_VARIANTS = (FLOOD_ONLY, DISCOVERY_IS_DOWN, REPLICAS_ARE_REPLACED, SHUTDOWN)
LONG_MS, SHORT_MS = (1500, 2000, 3000, 4000), (250, 400, 600, 1000)
WALL_STEPS_S = (-3600.0, -7.0, -2.0, 2.0, 7.0, 3600.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject. `at_s` counts from the start of the load; `pick`, 0 to 1, chooses the affected process."""

    kind: str
    at_s: float
    duration_s: float
    pick: float
    variant: str = ""
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one run. `rate`: requests per second of open-loop clients; `seconds`: the length of the load."""

    seed: int
    seconds: float
    dispatchers: int
    prefill_replicas: int
    decode_replicas: int
    mixed_replicas: int
    rate: float
    settings: dict[str, Any]
    classes: list[RequestClass]
    limits: PlatformLimits
    faults: list[Fault]
    sockets: int  # limit of each dispatcher

    @property
    def longest_timeout_s(self) -> float:
        """The longest deadline of the request classes."""
        return max(each.ttl_ms for each in self.classes) / 1000


def _settings(rng: random.Random, dispatchers: int, classes: list[RequestClass]) -> dict[str, Any]:
    classes_settings = [
        {
            "name": c.name,
            "aim": c.ttl_ms * 300,
            "deadline": c.ttl_ms * 1000,
            "effect": c.idempotency,
            "group": "all",
            "window": c.idempotency_window,
            "worth": worth,
            "late-worth": 0.2,
        }
        for c, worth in zip(classes, (1, 2, 3), strict=True)
    ]
    return {
        "allowed": {
            "conn-idle": rng.choice((4_000_000, 15_000_000)),
            "connect-timeout": 250_000,
            "max-attempts": 5,
            "max-retry-after": 500_000,
            "may-cancel": True,
            "most-held": 1000,
            "retry-after": True,
            "second-copies": False,
        },
        "classes": classes_settings,
        "extra": {
            "aim-us-per-1000-prompt-tokens": [40000] * 3,
            "local-read": rng.random() < 0.5,
            "release-within": 300_000,
            "role-by-kind": ["read", "write", "both"],
            "tokens-by-kind": [200_000] * 3,
            "token-aim": [70_000] * 3,
        },
        "models": ["read", "write", "both"],
        "n-instances": dispatchers,
        "zone": 0,
        "zones": list(ZONES),
        "rules": {
            "cold": 8_000_000,
            "cold-from": rng.choice((0.1, 0.28)),
            "fall": 1_500_000,
            "fall-multiple": rng.choice((1.5, 2.5)),
            "drain-grace": 500_000,
        },
        "tick": 2000,
    }


def _draw_fault(rng: random.Random, kind: str, seconds: float) -> Fault:
    at_s, duration_s, pick = rng.uniform(0.5, seconds - 1), rng.uniform(0.5, seconds / 2), rng.random()
    match kind:
        case "hold":
            return Fault(kind, at_s, rng.uniform(0.02, 0.15), pick)
        case "wall":
            return Fault(kind, at_s, 0, pick, amount=rng.choice(WALL_STEPS_S))
        case "misbehave":
            return Fault(kind, at_s, duration_s, pick, rng.choice(MISBEHAVIOUR_KINDS), rng.choice((0.3, 1.0)))
        case "fail-calls":
            return Fault(kind, at_s, min(duration_s, 1.0), pick, _failing_calls(rng))
        case "terminate" | "hang-and-terminate":
            return Fault(kind, at_s, duration_s, pick, rng.choice(SIGNAL_SERIES))
        case "reload":
            return Fault(kind, at_s, duration_s, pick, amount=rng.choice((2, 5)))
        case "crowd":
            return Fault(kind, at_s, duration_s, pick, rng.choice(FLOOD_VARIANTS), FLOOD_CONNECTIONS)
        case "resets":
            return Fault(kind, at_s, duration_s, pick, amount=0.05)
        case "pieces":
            return Fault(kind, at_s, duration_s, pick, amount=rng.choice((7, 100)))
    return Fault(kind, at_s, duration_s, pick)


def _draw_stops(seed: int, seconds: float) -> list[Fault]:
    """Returns faults that stop one or two replicas for longer than an attempt waits."""
    rng = random.Random(seed ^ STOPS_SEED)
    return [
        Fault(
            "stop-replica",
            rng.uniform(0.5, seconds / 2),
            rng.uniform(MIN_STOP_S, min(MAX_STOP_S, seconds)),
            rng.random(),
            rng.choice((RESUMES, DIES)),
        )
        for _ in range(rng.randint(1, 2))
    ]


def _draw_busy_replica(seed: int, seconds: float) -> list[Fault]:
    """Returns, for half of the seeds, a fault that makes one replica slow at everything."""
    rng = random.Random(seed ^ BUSY_SEED)
    if rng.random() < 0.5:
        return []
    delay_s = rng.uniform(MIN_BUSY_DELAY_S, MAX_BUSY_DELAY_S)
    return [Fault("busy-replica", rng.uniform(0.5, 1.5), seconds / 2, rng.random(), amount=delay_s)]


def _failing_calls(rng: random.Random) -> str:
    """Returns one or two kinds of failing calls, each as CALL ERRNO SHARE, separated by commas."""
    chosen = rng.sample(CALL_ERRORS, rng.choice((1, 2)))
    shares = [rng.choice((0.01, 0.03) if call in CONNECTION_BREAKING_CALLS else (0.3, 0.8)) for call, _ in chosen]
    return ",".join(f"{call} {error} {share}" for (call, error), share in zip(chosen, shares, strict=True))


def draw(seed: int, seconds: float = 12.0, dispatchers: int = 10) -> Plan:
    """Returns the plan of a seed: the same settings, fleet and faults every time."""
    rng = random.Random(seed)
    times = rng.choice((LONG_MS, SHORT_MS))
    classes = [
        RequestClass("advice", IDEMPOTENT, 0, rng.choice(times)),
        RequestClass("edit", KEYED, rng.choice((300_000, 600_000, 2_000_000)), rng.choice(times)),
        RequestClass("booking", NON_IDEMPOTENT, 0, rng.choice(times)),
    ]
    settings = _settings(rng, dispatchers, classes)
    prefill_replicas, decode_replicas, mixed_replicas = rng.randint(3, 4), rng.randint(3, 5), rng.randint(0, 2)
    rate, rules = rng.choice((25.0, 40.0)), settings["rules"]
    limits = PlatformLimits(
        300_000,
        rules["drain-grace"],
        rules["cold"],
        rules["cold-from"],
        rules["fall"],
        rules["fall-multiple"],
        1.4 * (rate + REGULAR_RATE * dispatchers) / (min(prefill_replicas, decode_replicas) + mixed_replicas),
    )
    weights = [FAULT_WEIGHTS.get(kind, 1) for kind in FAULT_KINDS]
    kinds = rng.choices(FAULT_KINDS, weights, k=rng.randint(7, 12))
    drawn = [_draw_fault(rng, kind, seconds) for kind in kinds]
    faults = sorted([*drawn, *_draw_stops(seed, seconds), *_draw_busy_replica(seed, seconds)], key=lambda t: t.at_s)
    sockets = FEW_SOCKETS if "crowd" in kinds else MANY_SOCKETS
    return Plan(
        seed,
        seconds,
        dispatchers,
        prefill_replicas,
        decode_replicas,
        mixed_replicas,
        rate,
        settings,
        classes,
        limits,
        faults,
        sockets,
    )
