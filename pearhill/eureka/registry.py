"""What a Eureka registry reports, kept up to date: full lists, deltas, and the hash code that checks them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any, NamedTuple

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.net.address import Address, parse_address
from pearhill.routing.topology import Endpoint, Phase, Role
from pearhill.settings import Deployment

_ROLES = {
    "reader": Role.PREFILL,
    "read": Role.PREFILL,
    "writer": Role.DECODE,
    "write": Role.DECODE,
    "mixed": Role.MIXED,
    "both": Role.MIXED,
}
_DEFAULT_ROLE = "both"


class RegistryError(ValueError):
    """An answer that does not follow the registry's form."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of an application, as the registry reports it."""

    app: str
    id: str
    status: str
    endpoint: str  # HOST:PORT
    started_ms: int  # Unix time
    metadata: dict[str, str]


class _Answer(NamedTuple):
    """A full list, or a delta: what was done to each instance."""

    hash_code: str
    rows: list[tuple[str, Instance]]


class Registry:
    """Every application's instances: the hash code is taken over all of them."""

    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], Instance] = {}  # by application and id

    def replace(self, answer: Any) -> None:
        """Take over a full list. RegistryError: it is none, and nothing has changed."""
        self.instances = {(instance.app, instance.id): instance for _, instance in _parse(answer).rows}

    def apply(self, answer: Any) -> bool:
        """Apply a delta. False: the hash code shows that something was missed, and the full list is needed.
        RegistryError: it is no delta, and nothing has changed."""
        hash_code, rows = _parse(answer)
        for action, instance in rows:
            if action == "DELETED":
                self.instances.pop((instance.app, instance.id), None)
            else:
                self.instances[instance.app, instance.id] = instance
        return hash_code == self.hash_code

    @property
    def hash_code(self) -> str:
        """Eureka's `apps__hashcode`: each status with the number of its instances."""
        counts = Counter(instance.status for instance in self.instances.values())
        return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))

    def endpoints(self, app: str, deployment: Deployment) -> tuple[tuple[Endpoint, ...], dict[int, Address]]:
        """One application's instances as replicas, and their addresses. Only instances that are UP get requests. One
        that makes no sense is left out."""
        entries = []
        addresses = {}
        for instance in self.instances.values():
            if instance.app != app:
                continue
            try:
                replica = replica_id(instance.id)
                addresses[replica] = parse_address(instance.endpoint)
                entries.append(_endpoint(replica, instance, deployment))
            except ValueError as e:
                logger.warning("eureka: instance {instance} is left out: {error}", instance=instance.id, error=str(e))
        return tuple(entries), addresses


def _parse(answer: Any) -> _Answer:
    try:
        applications = answer["applications"]
        rows = [
            (str(row.get("actionType", "ADDED")), _instance(row, str(app["name"]).upper()))
            for app in _rows(applications.get("application"))
            for row in _rows(app.get("instance"))
        ]
        return _Answer(str(applications.get("apps__hashcode", "")), rows)
    except (KeyError, TypeError, AttributeError, ValueError) as e:
        raise RegistryError(f"no list of applications: {e!r}") from None


def _rows(value: Any) -> list[dict[str, Any]]:
    """The registry's JSON is made from XML, and a list of one may come as the one alone."""
    if value is None:
        return []
    rows = value if isinstance(value, list) else [value]
    if not all(isinstance(row, dict) for row in rows):
        raise RegistryError("a row is no object")
    return rows


def _instance(row: dict[str, Any], app: str) -> Instance:
    port = row.get("port")
    number = port.get("$") if isinstance(port, dict) else port
    lease = row.get("leaseInfo") or {}
    metadata = row.get("metadata") or {}
    return Instance(
        app=app,
        id=str(row.get("instanceId") or row.get("hostName")),
        status=str(row.get("status", "UNKNOWN")),
        endpoint=f"{row.get('ipAddr') or row.get('hostName')}:{number}",
        started_ms=int(lease.get("serviceUpTimestamp") or 0),
        metadata={str(key): str(value) for key, value in metadata.items()},
    )


def _endpoint(replica: int, instance: Instance, deployment: Deployment) -> Endpoint:
    """ValueError: the metadata do not fit the settings."""
    metadata = instance.metadata
    kind = _kind(metadata, deployment)
    zone = metadata.get("zone", deployment.zone_names[0])
    if zone not in deployment.zone_names:
        raise ValueError(f"the zone {zone!r} is not in the settings")
    return Endpoint(
        replica,
        deployment.zone_names.index(zone),
        kind,
        int(metadata.get("cell", "0")),
        Phase.READY if instance.status == "UP" else Phase.DRAINING,
        float(metadata.get("capacity", "1")),
        instance.started_ms * 1000,
    )


def _kind(metadata: dict[str, str], deployment: Deployment) -> int:
    """The kind of replica that the metadata name, or else the first one that has their role."""
    name = metadata.get("kind")
    if name in deployment.kind_names:
        return deployment.kind_names.index(name)
    role_name = metadata.get("role", _DEFAULT_ROLE)
    role = _ROLES.get(role_name)
    for kind, spec in enumerate(deployment.router.kinds):
        if spec.role == role:
            return kind
    raise ValueError(f"no kind of server has the role {role_name!r}")
