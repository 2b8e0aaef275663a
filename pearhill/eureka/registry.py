"""A local copy of a Eureka registry's instances, updated by full lists and deltas and verified by their hash code."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any, NamedTuple

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.net.address import Address, parse_address
from pearhill.routing.topology import Endpoint, Phase, Role
from pearhill.settings import Deployment

_ROLES_BY_NAME = {
    "reader": Role.PREFILL,
    "read": Role.PREFILL,
    "writer": Role.DECODE,
    "write": Role.DECODE,
    "mixed": Role.MIXED,
    "both": Role.MIXED,
}
_DEFAULT_ROLE = "both"


class RegistryError(ValueError):
    """Raised for a response of the registry that has an error status or an invalid format."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of an application, as the registry reports it."""

    app: str
    id: str
    status: str
    endpoint: str  # HOST:PORT
    started_ms: int  # Unix time
    metadata: dict[str, str]


class _InstanceList(NamedTuple):
    """A full list, or a delta. `rows`: each instance with the action that was applied to it."""

    hash_code: str
    rows: list[tuple[str, Instance]]


class Registry:
    """The instances of all applications, not only of the replicas, because the hash code covers all of them."""

    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], Instance] = {}  # by application and id

    def replace(self, response: Any) -> None:
        """Replace all instances by those of a full list.

        Raises RegistryError if the response is not a valid list; the instances then stay unchanged.
        """
        self.instances = {(instance.app, instance.id): instance for _, instance in _parse_response(response).rows}

    def apply(self, response: Any) -> bool:
        """Apply a delta.

        Returns False if the hash code shows that an earlier change was missed, so that the full list must be fetched.
        Raises RegistryError if the response is not a valid delta; the instances then stay unchanged.
        """
        hash_code, rows = _parse_response(response)
        for action, instance in rows:
            if action == "DELETED":
                self.instances.pop((instance.app, instance.id), None)
            else:
                self.instances[instance.app, instance.id] = instance
        return hash_code == self.hash_code

    @property
    def hash_code(self) -> str:
        """The value of Eureka's `apps__hashcode` for these instances: each status with the number of its instances."""
        counts = Counter(instance.status for instance in self.instances.values())
        return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))

    def endpoints(self, app: str, deployment: Deployment) -> tuple[tuple[Endpoint, ...], dict[int, Address]]:
        """Returns one application's instances as endpoints, and their addresses by replica.

        An instance that is not UP is marked as draining, so that it receives no new requests. An instance with invalid
        data is skipped with a warning.
        """
        entries = []
        addresses = {}
        for instance in self.instances.values():
            if instance.app != app:
                continue
            try:
                replica = replica_id(instance.id)
                addresses[replica] = parse_address(instance.endpoint)
                entries.append(_to_endpoint(replica, instance, deployment))
            except ValueError as e:
                logger.warning("eureka: instance {instance} is skipped: {error}", instance=instance.id, error=str(e))
        return tuple(entries), addresses


def _parse_response(response: Any) -> _InstanceList:
    try:
        applications = response["applications"]
        rows = [
            (str(row.get("actionType", "ADDED")), _parse_instance(row, str(app["name"]).upper()))
            for app in _as_rows(applications.get("application"))
            for row in _as_rows(app.get("instance"))
        ]
        return _InstanceList(str(applications.get("apps__hashcode", "")), rows)
    except (KeyError, TypeError, AttributeError, ValueError) as e:
        raise RegistryError(f"the response is not a valid list of applications: {e!r}") from None


def _as_rows(value: Any) -> list[dict[str, Any]]:
    """Returns a value as a list of rows.

    The registry generates its JSON from XML, where a list with one element may appear as that element alone.
    """
    if value is None:
        return []
    rows = value if isinstance(value, list) else [value]
    if not all(isinstance(row, dict) for row in rows):
        raise RegistryError("a list entry is not a JSON object")
    return rows


def _parse_instance(row: dict[str, Any], app: str) -> Instance:
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


def _to_endpoint(replica: int, instance: Instance, deployment: Deployment) -> Endpoint:
    """Returns an instance as an endpoint. Raises ValueError if its metadata are invalid or contradict the settings."""
    metadata = instance.metadata
    kind = _find_kind(metadata, deployment)
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


def _find_kind(metadata: dict[str, str], deployment: Deployment) -> int:
    """Returns the replica kind that the metadata name, or otherwise the first kind with the role in the metadata.

    Raises ValueError if the settings have no such kind.
    """
    name = metadata.get("kind")
    if name in deployment.kind_names:
        return deployment.kind_names.index(name)
    role_name = metadata.get("role", _DEFAULT_ROLE)
    role = _ROLES_BY_NAME.get(role_name)
    for kind, spec in enumerate(deployment.router.kinds):
        if spec.role == role:
            return kind
    raise ValueError(f"the settings have no kind of replica with the role {role_name!r}")
