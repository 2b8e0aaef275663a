"""API keys: kept as salted hashes, found by a short public number, compared in constant time.

A key is a secret of at least 24 characters; `pearhill key` makes them with 256 random bits, so that one round of a
keyed hash is enough (stretching guards weak secrets, and would cost each request as much as an attacker). A record is
`NUMBER$SALT$HASH` in hexadecimal: NUMBER is the first 4 bytes of the key's own hash and only says where to look.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

SHORTEST, LONGEST = 24, 256  # characters
_RECORD = re.compile(r"([0-9a-f]{8})\$([0-9a-f]{32})\$([0-9a-f]{64})")
_BEARER = re.compile(r"[Bb]earer +(\S+)")


class BadKey(Exception):
    """A key, or the record of one, that cannot be used; the text names no secret."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """Whom a key belongs to. `models`: the declared models that it may use; empty: all. `number` reaches the Router."""

    name: str
    number: int
    models: frozenset[str] = frozenset()

    def may_use(self, model: str) -> bool:
        return not self.models or model in self.models


ANYONE = Tenant("", 0)


def new_key() -> str:
    return f"ph-{secrets.token_urlsafe(32)}"


def key_number(key: str) -> str:
    """What a key is called where it must not be shown."""
    return hashlib.blake2b(key.encode(errors="replace"), digest_size=4, person=b"pearhill-number").hexdigest()


def _hash(key: str, salt: bytes) -> bytes:
    return hashlib.blake2b(key.encode(errors="replace"), digest_size=32, salt=salt, person=b"pearhill-key").digest()


def record_of(key: str, salt: bytes | None = None) -> str:
    """What an operator's file keeps of a key. BadKey: it is too short to be a secret, too long, or no plain text."""
    if not SHORTEST <= len(key) <= LONGEST or not re.fullmatch(r"[\x21-\x7e]+", key):
        raise BadKey(f"a key is {SHORTEST} to {LONGEST} printable characters without spaces")
    salt = secrets.token_bytes(16) if salt is None else salt
    return f"{key_number(key)}${salt.hex()}${_hash(key, salt).hex()}"


class Keyring:
    """All keys in force. Takes a few microseconds a look, however many there are."""

    def __init__(self, tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> None:
        self._found: dict[str, list[tuple[bytes, bytes, Tenant]]] = {}
        self._nobody = [(secrets.token_bytes(16), secrets.token_bytes(32), ANYONE)]
        self.tenants: dict[str, Tenant] = {}
        for tenant, records in tenants:
            self.tenants[tenant.name] = tenant
            for record in records:
                parts = _RECORD.fullmatch(record)
                if not parts:
                    raise BadKey(f"a key of tenant {tenant.name!r} is no record as `pearhill key` prints it")
                self._found.setdefault(parts[1], []).append((bytes.fromhex(parts[2]), bytes.fromhex(parts[3]), tenant))

    def __bool__(self) -> bool:
        return bool(self.tenants)

    def owner(self, key: str) -> Tenant | None:
        """Whose key it is. Danger: how long the answer takes must tell nothing of how much of a key is right; a number
        that nobody has is compared all the same."""
        found: Tenant | None = None
        number = key_number(key)
        for salt, digest, tenant in self._found.get(number, self._nobody):
            if hmac.compare_digest(_hash(key, salt), digest) and number in self._found:
                found = tenant
        return found


def told(headers: Mapping[str, str]) -> str:
    """The key that a request carries: `Authorization: Bearer KEY`, or `api-key: KEY` as some clients send it."""
    bearer = _BEARER.fullmatch(headers.get("authorization", ""))
    return bearer[1] if bearer else headers.get("api-key", "")
