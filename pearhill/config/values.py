"""Value types that several kinds of operators' files share: addresses, lists of peers, and keys in separate files."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated

from msgspec import Meta, Struct

from pearhill.config import ConfigError, typed
from pearhill.membership.message_authenticator import MIN_KEY_BYTES
from pearhill.net import address as net

Text = Annotated[str, Meta(min_length=1)]
Address = Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$", description="HOST:PORT")]
MAX_NAME_LENGTH = 96  # characters of a reporter's name; the limit of a message to an aggregator
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
MAX_LIST_LENGTH = 4096  # peers in one list


class PeerTable(Struct, forbid_unknown_fields=True):
    """A peer in an operators' file."""

    name: Text
    address: Address


def address(path: str, text: str) -> net.Address:
    """Returns the address at this path. Raises ConfigError if it is invalid."""
    try:
        return net.parse_address(text)
    except ValueError:
        raise typed.invalid_value(path, text, "HOST:PORT, with a port from 0 to 65535") from None


def addresses(path: str, peers: Iterable[PeerTable], own_name: str, kind: str = "peer") -> dict[str, net.Address]:
    """Returns the peers' addresses by name, without this process's own, so that all processes can share one list.

    Raises ConfigError if a name is repeated or an address is invalid.
    """
    found: dict[str, net.Address] = {}
    for k, peer in enumerate(peers):
        if peer.name in found:
            raise typed.invalid_value(f"{path}[{k}].name", peer.name, f"a name that no other {kind} has")
        found[peer.name] = address(f"{path}[{k}].address", peer.address)
    found.pop(own_name, None)
    return found


def read_secret(path: str, file_name: str) -> str:
    """Returns a key from a separate file, or an empty string without a file name.

    Keys are not stored in the operators' file because that file is copied, shown and committed. Raises ConfigError if
    the key file cannot be read or does not contain exactly one key.
    """
    if not file_name:
        return ""
    try:
        with open(file_name, encoding="ascii") as file:
            text = file.read().strip()
    except (OSError, UnicodeDecodeError) as e:
        allowed = f"a readable file that holds one key ({type(e).__name__})"
        raise typed.invalid_value(path, file_name, allowed) from None
    if not text or not all("\x21" <= char <= "\x7e" for char in text):
        raise ConfigError(
            f"{path}: found a file without one key in it; allowed: a file that holds one key, printable and without "
            "spaces"
        )
    return text


def gossip_keys(path: str, file_names: Sequence[str]) -> tuple[bytes, ...]:
    """Returns the keys that authenticate datagrams: the first one signs, and all are accepted.

    Raises ConfigError if a key is too short or absent.
    """
    keys = tuple(read_secret(f"{path}[{k}]", name).encode() for k, name in enumerate(file_names))
    for k, key in enumerate(keys):
        if len(key) < MIN_KEY_BYTES:
            raise typed.invalid_value(f"{path}[{k}]", f"a key of {len(key)} characters", f"{MIN_KEY_BYTES} at least")
    return keys
