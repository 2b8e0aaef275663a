"""What an aggregator runs with: the control machine's file, its addresses and keys read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

from pearhill.config import ConfigError, typed, values
from pearhill.net.address import Address


class PeerTable(values.PeerTable, forbid_unknown_fields=True, kw_only=True):
    """The table of another aggregator."""

    name: values.Name


class AggregatorTable(Struct, forbid_unknown_fields=True):
    """The aggregator's own table. `peer`: the other aggregators; it may name this one too, so that one list serves all.
    The first key signs, each of them is accepted."""

    name: values.Name
    listen: values.Address
    key_files: Annotated[list[values.Text], Meta(min_length=1)]
    admin_addr: str = ""
    peer: Annotated[list[PeerTable], Meta(max_length=values.MAX_LIST_LENGTH)] = []


class AggregatorFile(Struct, forbid_unknown_fields=True):
    """The whole file."""

    aggregator: AggregatorTable


@dataclass(frozen=True, slots=True)
class AggregatorSetup:
    """What one aggregator runs with; addresses are host and port, `peers` by name."""

    name: str
    listen: Address
    keys: tuple[bytes, ...]
    peers: Mapping[str, Address]
    admin: Address | None  # where operators call


def load(path: str) -> AggregatorSetup:
    """Read the control machine's file. ConfigError names it, the key, what was found and what is allowed."""
    table = typed.load(path, AggregatorFile)[0].aggregator
    try:
        return AggregatorSetup(
            name=table.name,
            listen=values.address("aggregator.listen", table.listen),
            keys=values.gossip_keys("aggregator.key_files", table.key_files),
            peers=values.addresses("aggregator.peer", table.peer, table.name),
            admin=values.address("aggregator.admin_addr", table.admin_addr) if table.admin_addr else None,
        )
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None
