"""The scenario file: stand-in replicas, tenants that send requests, and optionally a fleet of dispatchers."""

from __future__ import annotations

import pathlib
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pearhill.config import ConfigError, typed

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class FaultTable(Struct, forbid_unknown_fields=True):
    """A fault that a replica applies to a share of its requests, from `from_s` to `to_s` seconds after its start.

    `garble` and `stall` take effect after the first events of an answer.
    """

    kind: Literal["refuse", "reset", "stall", "garble"]
    from_s: Annotated[float, Meta(ge=0)] = 0.0
    to_s: Positive = 1e9
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0


class ServerTable(Struct, forbid_unknown_fields=True):
    """A group of `count` equal replicas.

    `kind`: a machine kind of the operator's file; `queue`: the number of requests that may wait for a slot;
    `read_tokens_per_s`: the speed of one prefill; `write_tokens_per_s`: the speed of one stream.
    """

    kind: str
    count: Count = 1
    slots: Count = 16
    queue: Annotated[int, Meta(ge=0)] = 32
    memory_tokens: Count = 200_000
    read_tokens_per_s: Positive = 50_000.0
    write_tokens_per_s: Positive = 100.0
    fault: list[FaultTable] = []
    listen: str = ""  # HOST:PORT of a single replica; empty: a free port of loopback


class TenantTable(Struct, forbid_unknown_fields=True):
    """One tenant's requests: a Poisson process, whose rate is multiplied by `times` between `from_s` and `to_s`."""

    name: Annotated[str, Meta(min_length=1)]
    rate_per_s: Positive
    model: str
    prompt_tokens: Count = 200
    answer_tokens: Count = 40
    times: Positive = 1.0
    from_s: Annotated[float, Meta(ge=0)] = 0.0
    to_s: Positive = 1e9
    max_tokens: Annotated[int, Meta(ge=0)] = 0
    prefixes: Count = 1  # number of different prompt prefixes, equally likely


class FleetFault(Struct, forbid_unknown_fields=True):
    """A fault of the dispatchers `who`, which are numbered from 0.

    `cut`: no gossip passes between these and the others; `loss`, `double`: a `share` of all datagrams is lost or
    duplicated; `delay`: each datagram is delayed by up to `delay_s`; `stall`: SIGSTOP and, at the end, SIGCONT;
    `crash`: SIGKILL and, at the end, a restart.
    """

    kind: Literal["cut", "loss", "double", "delay", "stall", "crash"]
    from_s: Annotated[float, Meta(ge=0)]
    to_s: Positive
    who: list[Annotated[int, Meta(ge=0)]] = []
    share: Annotated[float, Meta(ge=0, le=1)] = 0.2
    delay_s: Annotated[float, Meta(ge=0, le=5)] = 0.1


class FleetTable(Struct, forbid_unknown_fields=True):
    """Dispatchers in front of the same replicas. Every `heavy_every`th gets `heavy` times the requests of the others.

    `talk`: whether they gossip; `starts_at_once`: how many are started at a time.
    """

    dispatchers: Annotated[int, Meta(ge=1, le=500)]
    talk: bool = True
    heavy: Positive = 10.0
    heavy_every: Count = 20
    starts_at_once: Count = 8
    fault: list[FleetFault] = []


class LabTable(Struct, forbid_unknown_fields=True):
    """The parameters of a run. `operator_file`: relative to the scenario file; `seconds`: the length of the load."""

    operator_file: str
    seconds: Annotated[float, Meta(gt=0, le=600)] = 20.0
    warm_s: Annotated[float, Meta(ge=0)] = 2.0  # warm-up time, excluded from the figures
    seed: int = 1


class Scenario(Struct, forbid_unknown_fields=True):
    """A scenario file. `base`: its folder, set by `load`."""

    lab: LabTable
    server: Annotated[list[ServerTable], Meta(min_length=1)]
    tenant: Annotated[list[TenantTable], Meta(min_length=1)]
    fleet: FleetTable | None = None
    base: pathlib.Path = field(default_factory=pathlib.Path)


def load(path: str) -> Scenario:
    """Read and validate a scenario file. Raises ConfigError if it is invalid."""
    scenario, _ = typed.load(path, Scenario)
    scenario.base = pathlib.Path(path).resolve().parent
    names = [tenant.name for tenant in scenario.tenant]
    if len(set(names)) < len(names):
        raise ConfigError(f"{path}: tenant: found a name twice; allowed: each once")
    if scenario.fleet:
        for k, fault in enumerate(scenario.fleet.fault):
            _check_fault(fault, scenario.fleet.dispatchers, f"{path}: fleet.fault[{k}]")
    return scenario


def _check_fault(fault: FleetFault, dispatchers: int, place: str) -> None:
    if fault.to_s <= fault.from_s:
        raise ConfigError(f"{place}.to_s: found {fault.to_s}; allowed: more than from_s, {fault.from_s}")
    if fault.kind in ("cut", "stall", "crash") and not fault.who:
        raise ConfigError(f"{place}.who: found nobody; allowed: numbers of dispatchers, from 0")
    unknown = [number for number in fault.who if number >= dispatchers]
    if unknown:
        raise ConfigError(f"{place}.who: found {unknown[0]}; allowed: 0 to {dispatchers - 1}")
