"""API keys: stored as salted hashes, looked up by a short public number, compared in constant time.

A key is a secret of at least 24 characters. `pearhill key` generates keys with 256 random bits, so that one round of a
salted hash is sufficient: key stretching protects weak secrets, and would cost each request as much as an attacker. A
record is `NUMBER$SALT$HASH` in hexadecimal. NUMBER is an unsalted 4-byte hash of the key, by which its record is looked
up. SALT has 16 bytes, and HASH (BLAKE2b, RFC 7693) has 32 bytes.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MIN_KEY_CHARS = 24
MAX_KEY_CHARS = 256
SALT_BYTES = 16
DIGEST_BYTES = 32
_PRINTABLE = re.compile(r"[\x21-\x7e]+")
_RECORD = re.compile(r"([0-9a-f]{8})\$([0-9a-f]{32})\$([0-9a-f]{64})")
_BEARER = re.compile(r"[Bb]earer +(\S+)")


class InvalidKeyError(Exception):
    """Raised for an invalid key or key record. The text contains no secret."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """The owner of keys.

    `number` identifies the tenant in the Router's settings and events. `models` has the declared models that it may
    use; if empty, it may use all of them.
    """

    name: str
    number: int
    models: frozenset[str] = frozenset()

    def may_use(self, model: str) -> bool:
        """Returns whether the tenant's keys permit requests for this declared model."""
        return not self.models or model in self.models


ANONYMOUS = Tenant("", 0)


@dataclass(frozen=True, slots=True)
class _KeyRecord:
    """The decoded record of one key of a tenant."""

    salt: bytes
    digest: bytes
    tenant: Tenant

    def matches(self, key: str) -> bool:
        """Returns whether the record is of this key, in a time that does not depend on how much of `key` matches."""
        return hmac.compare_digest(_hash(key, self.salt), self.digest)


def new_key() -> str:
    """Returns a new key with 256 random bits."""
    return f"ph-{secrets.token_urlsafe(32)}"


def key_number(key: str) -> str:
    """Returns the public number of a key, 8 hexadecimal digits, which stands for it in logs and charges."""
    return hashlib.blake2b(key.encode(errors="replace"), digest_size=4, person=b"pearhill-number").hexdigest()


def _hash(key: str, salt: bytes) -> bytes:
    data = key.encode(errors="replace")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, salt=salt, person=b"pearhill-key").digest()


def record_of(key: str, salt: bytes | None = None) -> str:
    """Returns the record of a key for the operator's file, with a random salt unless `salt` is given.

    Raises InvalidKeyError if the key is too short to be a secret, too long, or not printable ASCII without spaces.
    """
    if not MIN_KEY_CHARS <= len(key) <= MAX_KEY_CHARS or not _PRINTABLE.fullmatch(key):
        raise InvalidKeyError(f"a key must have {MIN_KEY_CHARS} to {MAX_KEY_CHARS} printable characters without spaces")
    salt = secrets.token_bytes(SALT_BYTES) if salt is None else salt
    return f"{key_number(key)}${salt.hex()}${_hash(key, salt).hex()}"


class Keyring:
    """All valid keys, built from the records of each tenant. Raises InvalidKeyError if a record is malformed.

    `tenants` has the tenants by name.
    """

    def __init__(self, tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> None:
        self._records: dict[str, list[_KeyRecord]] = {}  # by the key's number
        self._decoy = _KeyRecord(secrets.token_bytes(SALT_BYTES), secrets.token_bytes(DIGEST_BYTES), ANONYMOUS)
        self.tenants: dict[str, Tenant] = {}
        for tenant, records in tenants:
            self.tenants[tenant.name] = tenant
            for record in records:
                self._add(tenant, record)

    def __bool__(self) -> bool:
        return bool(self.tenants)

    def owner(self, key: str) -> Tenant | None:
        """Returns the tenant that owns the key, or None if the key is invalid.

        If there is no record of the key's number, the key is compared with a random record: otherwise an attacker could
        find out by the response time which numbers exist.
        """
        owner: Tenant | None = None
        number = key_number(key)
        for record in self._records.get(number, [self._decoy]):
            if record.matches(key) and number in self._records:
                owner = record.tenant
        return owner

    def _add(self, tenant: Tenant, record: str) -> None:
        parts = _RECORD.fullmatch(record)
        if not parts:
            raise InvalidKeyError(f"a key of tenant {tenant.name!r} is not a record as `pearhill key` prints it")
        number, salt, digest = parts.groups()
        stored = _KeyRecord(bytes.fromhex(salt), bytes.fromhex(digest), tenant)
        self._records.setdefault(number, []).append(stored)


def key_in_headers(headers: Mapping[str, str]) -> str:
    """Returns the key in a request's headers, or "" if there is none.

    Clients send it as `Authorization: Bearer KEY` (RFC 6750) or as `api-key: KEY`.
    """
    bearer = _BEARER.fullmatch(headers.get("authorization", ""))
    return bearer[1] if bearer else headers.get("api-key", "")
