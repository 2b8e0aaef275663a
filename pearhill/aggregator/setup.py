"""The setup of an aggregator: the control machine's file with its addresses parsed and its keys loaded."""

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
    """The aggregator's own table.

    `peer` lists the other aggregators. It may include this one, so that all aggregators can use the same list. The
    first key signs and each of them is accepted.
    """

    name: values.Name
    listen: values.Address
    key_files: Annotated[list[values.Text], Meta(min_length=1)]
    admin_addr: str = ""
    peer: Annotated[list[PeerTable], Meta(max_length=values.MAX_LIST_LENGTH)] = []


class AggregatorFile(Struct, forbid_unknown_fields=True):
    """The complete file."""

    aggregator: AggregatorTable


@dataclass(frozen=True, slots=True)
class AggregatorSetup:
    """The setup of one aggregator. Addresses are host and port; `peers` are by name."""

    name: str
    listen: Address
    keys: tuple[bytes, ...]
    peers: Mapping[str, Address]
    admin: Address | None  # of the admin endpoint, if there is one


def load(path: str) -> AggregatorSetup:
    """Reads the control machine's file.

    Raises ConfigError, whose text names the file, the key, what was found and what is allowed.
    """
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
