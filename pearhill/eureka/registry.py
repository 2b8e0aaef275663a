"""What a Eureka registry says, kept up to date: whole lists, deltas, and the hash code that checks them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.net.address import Address, parse_address
from pearhill.routing.topology import Endpoint, Phase, Role
from pearhill.settings import Deployment


class BadRegistry(ValueError):
    """An answer that does not follow the registry's form."""


@dataclass(frozen=True, slots=True)
class Instance:
    app: str
    id: str
    status: str
    endpoint: str
    started_ms: int
    metadata: dict[str, str]


def _rows(value: Any) -> list[dict[str, Any]]:
    """Danger: the registry's JSON is made from XML, and a list of one may come as the one alone."""
    rows = value if isinstance(value, list) else [] if value is None else [value]
    if not all(isinstance(row, dict) for row in rows):
        raise BadRegistry("a row is no object")
    return rows


def _instance(row: dict[str, Any], app: str) -> Instance:
    port = row.get("port")
    number = port.get("$") if isinstance(port, dict) else port
    lease, metadata = row.get("leaseInfo") or {}, row.get("metadata") or {}
    return Instance(
        app,
        str(row.get("instanceId") or row.get("hostName")),
        str(row.get("status", "UNKNOWN")),
        f"{row.get('ipAddr') or row.get('hostName')}:{number}",
        int(lease.get("serviceUpTimestamp") or 0),
        {str(k): str(v) for k, v in metadata.items()},
    )


class Registry:
    """Every application's instances: the hash code is taken over all of them."""

    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], Instance] = {}

    @staticmethod
    def _parse(answer: Any) -> tuple[str, list[tuple[str, Instance]]]:
        try:
            told = answer["applications"]
            rows = [
                (str(row.get("actionType", "ADDED")), _instance(row, str(app["name"]).upper()))
                for app in _rows(told.get("application"))
                for row in _rows(app.get("instance"))
            ]
            return str(told.get("apps__hashcode", "")), rows
        except (KeyError, TypeError, AttributeError, ValueError) as e:
            raise BadRegistry(f"no list of applications: {e!r}") from None

    def replace(self, answer: Any) -> None:
        _, rows = self._parse(answer)
        self.instances = {(row.app, row.id): row for _, row in rows}

    def apply(self, answer: Any) -> bool:
        """Apply a delta. False: the hash code shows that something was missed, and the whole list is needed."""
        code, rows = self._parse(answer)
        for action, row in rows:
            if action == "DELETED":
                self.instances.pop((row.app, row.id), None)
            else:
                self.instances[row.app, row.id] = row
        return code == self.hash_code

    @property
    def hash_code(self) -> str:
        counts = Counter(row.status for row in self.instances.values())
        return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))

    def servers(self, app: str, deployment: Deployment) -> tuple[tuple[Endpoint, ...], dict[int, Address]]:
        """One application's instances as engines. UP takes requests, every other state gets nothing new."""
        entries, addresses = [], {}
        for row in self.instances.values():
            if row.app != app:
                continue
            try:
                engine = replica_id(row.id)
                addresses[engine] = parse_address(row.endpoint)
                entries.append(_entry(engine, row, deployment))
            except ValueError as e:
                logger.warning("eureka: instance {instance} is left out: {error}", instance=row.id, error=str(e))
        return tuple(entries), addresses


def _entry(engine: int, row: Instance, deployment: Deployment) -> Endpoint:
    roles = {
        "reader": Role.PREFILL,
        "read": Role.PREFILL,
        "writer": Role.DECODE,
        "write": Role.DECODE,
        "mixed": Role.MIXED,
        "both": Role.MIXED,
    }
    metadata, kinds = row.metadata, deployment.router.kinds
    if (name := metadata.get("kind")) in deployment.kind_names:
        kind = deployment.kind_names.index(name)
    else:
        role = roles.get(metadata.get("role", "both"))
        kind = next((k for k, spec in enumerate(kinds) if spec.role == role), -1)
        if kind < 0:
            raise ValueError(f"no kind of server has the role {metadata.get('role', 'both')!r}")
    zone = metadata.get("zone", deployment.zone_names[0])
    if zone not in deployment.zone_names:
        raise ValueError(f"the zone {zone!r} is not in the settings")
    return Endpoint(
        engine,
        deployment.zone_names.index(zone),
        kind,
        int(metadata.get("cell", "0")),
        Phase.READY if row.status == "UP" else Phase.DRAINING,
        float(metadata.get("capacity", "1")),
        row.started_ms * 1000,
    )
