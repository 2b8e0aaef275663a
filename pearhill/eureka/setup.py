"""What an operator's file says about the registry."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.net.address import Address


@dataclass(frozen=True, slots=True)
class EurekaSetup:
    address: Address
    base: str
    vip: str  # the application whose instances are the servers
    app: str  # the name under which this dispatcher registers; empty: it does not
    instance: str
    lease_s: int
    renew_s: int
    fetch_s: int
