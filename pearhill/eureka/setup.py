"""The settings of the registry in an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.net.address import Address


@dataclass(frozen=True, slots=True)
class EurekaSetup:
    """The registry's address, the application whose instances are used, and this dispatcher's own registration.

    The fields that end in `_s` are in seconds.
    """

    address: Address
    base: str  # path prefix of the registry's API
    replica_app: str  # the application whose instances are the replicas
    register_as: str  # the application under which this dispatcher registers; empty if it does not register
    instance: str  # the instance id of this dispatcher; if empty, it is derived from the address
    lease_s: int
    renew_s: int
    fetch_s: int
