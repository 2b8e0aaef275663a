"""One parse of a deployment's settings: the object that the simulator's START and a daemon's configuration share."""

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


class SettingsError(ValueError):
    """Settings that cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The router's settings, with what only the node round it needs. Times are microseconds."""

    router: RouterSettings
    load_at: tuple[int, int]  # where the two load values stand in a report (-1: not reported)
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    connect_timeout: int
    conn_idle: int
    most_held: int
    shared_discovery: bool  # it is one service that all dispatchers ask; else what it has is pushed to each
    drain_grace: int  # after it was told of one that leaves, a dispatcher has so long to stop sending there

    def held_fast(self) -> dict[str, tuple[object, ...]]:
        """What a running process has numbered or sized its books by, under the keys of the settings."""
        return {
            "classes": self.class_names,
            "zones": self.zone_names,
            "models": self.kind_names,
            "extra.role-by-kind": tuple(kind.role for kind in self.router.kinds),
            "tenants": self.tenant_names,
        }


def _names(rows: Any) -> tuple[str, ...]:
    return tuple(str(row["name"]) if isinstance(row, Mapping) and "name" in row else str(row) for row in rows)


def parse(s: Mapping[str, Any]) -> Deployment:
    """The settings object, as nested JSON was read."""
    try:
        extra, allowed, rules = s["extra"], s["allowed"], s["rules"]
        n = len(s["classes"])
        per_k = extra.get("aim-us-per-1000-prompt-tokens") or [0.0] * n
        pace = extra.get("token-aim") or [0.0] * n
        classes = tuple(
            RequestClass(
                int(c["aim"]),
                float(per_k[k]),
                int(c["deadline"]),
                float(c["worth"]),
                float(c.get("late-worth", 0)),
                EFFECTS.get(c["effect"], c["effect"]),
                c.get("group", "all"),
                int(c.get("window", 0)),
                float(pace[k]),
            )
            for k, c in enumerate(s["classes"])
        )
        kinds = tuple(
            MachineKind(ROLES.get(role, role), int(memory))
            for role, memory in zip(extra["role-by-kind"], extra["tokens-by-kind"], strict=True)
        )
        columns = s.get("report", {}).get("columns", [])
        load_at = tuple(columns.index(name) if name in columns else -1 for name in ("x0", "x1"))
        router = RouterSettings(
            instances=int(s["n-instances"]),
            zone=int(s["zone"]),
            classes=classes,
            kinds=kinds,
            quotas=tuple(float(t["quota-rps"]) for t in s.get("tenants", [])),
            over_quota_weight=float(s.get("over-share-worth", 1)),
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
            tick=int(s["tick"]),
            health_checks=bool(allowed.get("probing", False))
            and min(load_at) >= 0
            and s["report"].get("via", "off") != "off",
            health_check_price=float(s.get("prices", {}).get("probe", 0)),
        )
        return Deployment(
            router,
            (load_at[0], load_at[1]),
            class_names=tuple(str(c.get("name", k)) for k, c in enumerate(s["classes"])),
            zone_names=_names(s.get("zones", [])),
            kind_names=_names(s.get("models", [])),
            tenant_names=_names(s.get("tenants", [])),
            connect_timeout=int(allowed.get("connect-timeout", 250_000)),
            conn_idle=int(allowed.get("conn-idle", 15_000_000)),
            most_held=int(allowed.get("most-held", 10_000)),
            shared_discovery=s.get("discovery") == "on_request",
            drain_grace=int(rules.get("drain-grace", 250_000)),
        )
    except KeyError as e:
        raise SettingsError(f"{e.args[0]} is missing") from None
    except (ValueError, TypeError, IndexError, AttributeError) as e:
        raise SettingsError(str(e)) from None
