"""Figures of a fleet for operators: loads by replica, how evenly they are spread, and the members known by gossip."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from pearhill.load_reports.evenness import evenness
from pearhill.membership.members import SwimMembership
from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.net.address import Address

UNKNOWN_ADDRESS = ("", 0)


class OwnLoads(Protocol):
    """Provides this dispatcher's own load at each replica."""

    def replica_statuses(self, now: int) -> Mapping[int, tuple[int, int, bool]]:
        """Return, by replica: own queued tokens, all own tokens, and whether this dispatcher avoids the replica."""
        ...


class OwnDispatcher(Protocol):
    """Provides the router, which has the own loads."""

    @property
    def router(self) -> OwnLoads:
        """The router in use."""
        ...


class OwnBackend(Protocol):
    """Provides the addresses of the replicas."""

    @property
    def addresses(self) -> Mapping[int, Address]:
        """The replicas' addresses by number."""
        ...


class FleetNode(Protocol):
    """The part of the running dispatcher that the figures use."""

    @property
    def dispatcher(self) -> OwnDispatcher:
        """Its dispatcher."""
        ...

    @property
    def backend(self) -> OwnBackend:
        """Its backend."""
        ...

    @property
    def dispatcher_count(self) -> int:
        """The number of dispatchers among which shares are divided, or 0 if the number in the settings applies."""
        ...


def replica_figures(
    now: int, node: FleetNode, sources: CombinedLoadSource
) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    """Return own and others' tokens at each replica, and how evenly all tokens are spread."""
    rows: list[dict[str, Any]] = []
    totals: dict[str, float] = {}
    for replica, (waiting, load, avoided) in node.dispatcher.router.replica_statuses(now).items():
        address = "{}:{}".format(*node.backend.addresses.get(replica, UNKNOWN_ADDRESS))
        others = sources.estimate_peer_load(now, replica, waiting, load)
        totals[address] = load + others.total_tokens
        rows.append(
            {
                "address": address,
                "avoided": avoided,
                "mine": {"waiting": waiting, "load": load},
                "others": {
                    "waiting": round(others.queued_tokens),
                    "load": round(others.total_tokens),
                    "sure": round(others.confidence, 3),
                },
            }
        )
    even = evenness(totals)
    return rows, {"peak_over_mean": round(even.peak, 3), "gini": round(even.gini, 3), "idle": list(even.idle)}


def member_figures(now: int, members: SwimMembership) -> dict[str, Any]:
    """Return the state of the other dispatchers, as known by gossip."""
    return {
        name: {
            "state": str(member.state),
            "incarnation": member.incarnation,
            "for_s": (now - member.state_since) / 1e6,
        }
        for name, member in members.members.items()
    }
