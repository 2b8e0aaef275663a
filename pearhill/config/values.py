"""Values that stand in more than one operators' file: addresses, keys in files of their own, named ends of a talk."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated

from msgspec import Meta, Struct

from pearhill.config import ConfigError, typed
from pearhill.membership.message_authenticator import MIN_KEY_BYTES
from pearhill.net import address as net

Text = Annotated[str, Meta(min_length=1)]
Address = Annotated[str, Meta(pattern=r"^.+:[0-9]{1,5}$", description="HOST:PORT")]
MOST_NAME = 96  # characters of who speaks to an aggregator; frames have no room for more
Name = Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
MOST_NAMED = 4096  # ends in one list


class PeerTable(Struct, forbid_unknown_fields=True):
    name: Text
    address: Address


def address(path: str, text: str) -> net.Address:
    try:
        return net.parse_address(text)
    except ValueError:
        raise typed.complaint(path, text, "HOST:PORT, with a port from 0 to 65535") from None


def addresses(path: str, named: Iterable[PeerTable], me: str, kind: str = "peer") -> dict[str, net.Address]:
    """By name, without my own: one list may serve all."""
    found: dict[str, net.Address] = {}
    for k, peer in enumerate(named):
        if peer.name in found:
            raise typed.complaint(f"{path}[{k}].name", peer.name, f"a name that no other {kind} has")
        found[peer.name] = address(f"{path}[{k}].address", peer.address)
    found.pop(me, None)
    return found


def secret(path: str, name: str) -> str:
    """A key from a file of its own. Danger: what stands in the operator's file gets copied, shown and committed."""
    if not name:
        return ""
    try:
        with open(name, encoding="ascii") as file:
            text = file.read().strip()
    except (OSError, UnicodeDecodeError) as e:
        raise typed.complaint(path, name, f"a readable file that holds one key ({type(e).__name__})") from None
    if not text or any(not "\x21" <= char <= "\x7e" for char in text):
        raise ConfigError(
            f"{path}: found a file without one key in it; allowed: a file that holds one key, printable "
            "and without spaces"
        )
    return text


def talk_keys(path: str, names: Sequence[str]) -> tuple[bytes, ...]:
    """What signs and proves datagrams: the first signs, each is accepted."""
    keys = tuple(secret(f"{path}[{k}]", name).encode() for k, name in enumerate(names))
    for k, key in enumerate(keys):
        if len(key) < MIN_KEY_BYTES:
            raise typed.complaint(f"{path}[{k}]", f"a key of {len(key)} characters", f"{MIN_KEY_BYTES} at least")
    return keys
