"""The registry's settings in an operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.net.address import Address


@dataclass(frozen=True, slots=True)
class EurekaSetup:
    """Where the registry is, what is read there, and how this dispatcher registers."""

    address: Address
    base: str  # the path under which the registry's API stands
    replica_app: str  # the application whose instances are the replicas
    register_as: str  # the application as which this dispatcher registers; empty: it does not
    instance: str  # the id of this dispatcher there; empty: made of its address
    lease_s: int
    renew_s: int
    fetch_s: int
