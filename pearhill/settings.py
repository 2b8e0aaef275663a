"""Parses a deployment's settings, which the simulator's START message and a daemon's configuration share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pearhill.routing.settings import Idempotency, RequestClass, RouterSettings
from pearhill.routing.topology import MachineKind, Role

ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.MIXED}
EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.UNSAFE,
}

DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_CONNECTION_IDLE_US = 15_000_000
DEFAULT_MAX_OPEN_REQUESTS = 10_000
DEFAULT_DRAIN_GRACE_US = 250_000
LOAD_COLUMNS = ("x0", "x1")  # of a load report: memory utilization, thousands of queued tokens
NOT_REPORTED = -1


class SettingsError(ValueError):
    """The settings are invalid; the text names the key."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The router's settings, and those that only the node needs. Times are microseconds.

    `load_positions`: the indices of the two load values in a report (-1: not reported). `connection_idle_timeout`: for
    how long replicas keep an idle connection. `shared_discovery`: discovery is one service that all dispatchers poll;
    otherwise updates are pushed to each. `drain_grace`: the time after the endpoint list reports a replica as draining
    within which a dispatcher must stop sending requests to it.
    """

    router: RouterSettings
    load_positions: tuple[int, int]
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    connect_timeout: int
    connection_idle_timeout: int
    max_open_requests: int
    shared_discovery: bool
    drain_grace: int

    def fixed_at_start(self) -> dict[str, tuple[object, ...]]:
        """Returns, by key, the settings that a reload cannot change: they number or size the tables of a process."""
        return {
            "classes": self.class_names,
            "zones": self.zone_names,
            "models": self.kind_names,
            "extra.role-by-kind": tuple(kind.role for kind in self.router.kinds),
            "tenants": self.tenant_names,
        }


def parse(settings: Mapping[str, Any]) -> Deployment:
    """Parse the settings object, decoded from JSON.

    Raises SettingsError for the first invalid key, which it names.
    """
    try:
        return _deployment(settings)
    except KeyError as e:
        raise SettingsError(f"{e.args[0]} is missing") from None
    except (ValueError, TypeError, IndexError, AttributeError) as e:
        raise SettingsError(str(e)) from None


# If several keys are invalid, the order in which they are read decides which one is reported.


def _deployment(settings: Mapping[str, Any]) -> Deployment:
    extra = settings["extra"]
    allowed = settings["allowed"]
    rules = settings["rules"]
    classes = _classes(settings["classes"], extra)
    kinds = _kinds(extra)
    load_positions = _load_positions(settings)
    return Deployment(
        _router(settings, classes, kinds, load_positions),
        load_positions,
        class_names=tuple(str(row.get("name", number)) for number, row in enumerate(settings["classes"])),
        zone_names=_names(settings.get("zones", [])),
        kind_names=_names(settings.get("models", [])),
        tenant_names=_names(settings.get("tenants", [])),
        connect_timeout=int(allowed.get("connect-timeout", DEFAULT_CONNECT_TIMEOUT_US)),
        connection_idle_timeout=int(allowed.get("conn-idle", DEFAULT_CONNECTION_IDLE_US)),
        max_open_requests=int(allowed.get("most-held", DEFAULT_MAX_OPEN_REQUESTS)),
        shared_discovery=settings.get("discovery") == "on_request",
        drain_grace=int(rules.get("drain-grace", DEFAULT_DRAIN_GRACE_US)),
    )


def _router(
    settings: Mapping[str, Any],
    classes: tuple[RequestClass, ...],
    kinds: tuple[MachineKind, ...],
    load_positions: tuple[int, int],
) -> RouterSettings:
    extra = settings["extra"]
    allowed = settings["allowed"]
    rules = settings["rules"]
    return RouterSettings(
        instances=int(settings["n-instances"]),
        zone=int(settings["zone"]),
        classes=classes,
        kinds=kinds,
        quotas=tuple(float(tenant["quota-rps"]) for tenant in settings.get("tenants", [])),
        over_quota_weight=float(settings.get("over-share-worth", 1)),
        state_hold_time=int(extra["release-within"]),
        local_prefill=bool(extra["local-read"]),
        may_cancel=bool(allowed["may-cancel"]),
        hedged_requests=bool(allowed["second-copies"]),
        may_migrate=bool(extra.get("resume", False)),
        retry_hints=bool(allowed.get("retry-after", False)),
        max_retry_after=int(allowed.get("max-retry-after", 0)),
        max_attempts=int(allowed["max-attempts"]),
        slow_start_window=int(rules["cold"]),
        slow_start_initial_share=float(rules["cold-from"]),
        overload_window=int(rules["fall"]),
        overload_multiple=float(rules["fall-multiple"]),
        tick=int(settings["tick"]),
        health_checks=_has_health_checks(settings, load_positions),
        health_check_price=float(settings.get("prices", {}).get("probe", 0)),
    )


def _classes(rows: Any, extra: Mapping[str, Any]) -> tuple[RequestClass, ...]:
    """Returns the request classes. Two values of each class are in separate lists of `extra`."""
    count = len(rows)
    per_1000_tokens = extra.get("aim-us-per-1000-prompt-tokens") or [0.0] * count
    token_objectives = extra.get("token-aim") or [0.0] * count
    return tuple(
        RequestClass(
            int(row["aim"]),
            float(per_1000_tokens[number]),
            int(row["deadline"]),
            float(row["worth"]),
            float(row.get("late-worth", 0)),
            EFFECTS.get(row["effect"], row["effect"]),
            row.get("group", "all"),
            int(row.get("window", 0)),
            float(token_objectives[number]),
        )
        for number, row in enumerate(rows)
    )


def _kinds(extra: Mapping[str, Any]) -> tuple[MachineKind, ...]:
    return tuple(
        MachineKind(ROLES.get(role, role), int(memory))
        for role, memory in zip(extra["role-by-kind"], extra["tokens-by-kind"], strict=True)
    )


def _load_positions(settings: Mapping[str, Any]) -> tuple[int, int]:
    columns = settings.get("report", {}).get("columns", [])
    utilization, waiting = (columns.index(name) if name in columns else NOT_REPORTED for name in LOAD_COLUMNS)
    return utilization, waiting


def _has_health_checks(settings: Mapping[str, Any], load_positions: tuple[int, int]) -> bool:
    """Whether load queries are allowed and replicas report both load values."""
    if not bool(settings["allowed"].get("probing", False)) or min(load_positions) < 0:
        return False
    return bool(settings["report"].get("via", "off") != "off")


def _names(rows: Any) -> tuple[str, ...]:
    """Returns the names in a list of names or of objects with names."""
    return tuple(str(row["name"]) if isinstance(row, Mapping) and "name" in row else str(row) for row in rows)
