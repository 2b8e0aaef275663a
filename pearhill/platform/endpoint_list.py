"""Parses the endpoints in discovery's answers into the records of the routing package."""

from __future__ import annotations

import string
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.net.address import Address, parse_address
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import Deployment

PHASES = {"active": Phase.READY, "leaving": Phase.DRAINING, "left": Phase.GONE}
ENDING_STATES = ("leaving", "left")
INVALID_TARGET = (KeyError, ValueError, TypeError, AttributeError, OverflowError)  # raised by an invalid target


def parse_endpoints(
    targets: Any,
    deployment: Deployment,
    known: Mapping[int, Endpoint] = MappingProxyType({}),
) -> tuple[tuple[Endpoint, ...], dict[int, Address]]:
    """Return the endpoints of an answer, and their addresses by replica. `known`: the last list.

    An invalid target is left out and logged; the others are still used.
    """
    endpoints: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    invalid: list[tuple[Exception, Any]] = []
    for target in targets:
        try:
            endpoint = _parse_endpoint(target, deployment)
            addresses[endpoint.replica] = parse_address(target["endpoint"])
            endpoints.append(endpoint)
        except INVALID_TARGET as e:
            invalid.append((e, target))
            ending = _ending_endpoint(target, known)
            if ending:
                endpoints.append(ending)
    if invalid:
        _log_invalid(invalid, len(targets))
    return tuple(endpoints), addresses


def _parse_endpoint(target: Any, deployment: Deployment) -> Endpoint:
    kinds = deployment.router.kinds
    zones = max(1, len(deployment.zone_names))
    return Endpoint(
        replica_id(str(target["uid"])),
        _parse_position(target["az"], deployment.zone_names, zones),
        _parse_position(target["model"], deployment.kind_names, len(kinds)),
        int(target["pod_group"]),
        PHASES[target["state"]],
        float(target.get("capacity_hint", 1.0)),
        int(target.get("boot_ms", 0)) * 1000,
    )


def _ending_endpoint(target: Any, known: Mapping[int, Endpoint]) -> Endpoint | None:
    """Return the last known endpoint with its new phase, if an invalid target says that it is draining or unlisted.

    Returns None otherwise. Without this the replica would still receive requests, since its change of state would be
    left out.
    """
    last = known.get(replica_id(str(target.get("uid")))) if isinstance(target, Mapping) else None
    if last is None or target.get("state") not in ENDING_STATES:
        return None
    return replace(last, phase=PHASES[target["state"]])


def _parse_position(value: Any, names: tuple[str, ...], bound: int) -> int:
    """Return the position of a name among the settings' names, or else the one that the name states.

    A letter or a number states a position from 0 on: "b" and "m1" are the second. Raises ValueError unless the position
    is at least 0 and below `bound`.
    """
    text = str(value)
    if text in names:
        return names.index(text)
    digits = text.lstrip(string.ascii_letters + "-_")
    if digits.isdecimal():
        position = int(digits)
    elif len(text) == 1:
        position = ord(text.lower()) - ord("a")
    else:
        position = -1
    if not 0 <= position < bound:
        raise ValueError(f"{text!r} is not in the settings")
    return position


def _log_invalid(invalid: list[tuple[Exception, Any]], total: int) -> None:
    """Log all invalid targets in one line: a line for each of a thousand would fill the log."""
    error, target = invalid[0]
    logger.warning(
        "discovery: {count} of {all} targets are invalid and left out, the first: {error}: {target}",
        count=len(invalid),
        all=total,
        error=repr(error),
        target=target,
    )
