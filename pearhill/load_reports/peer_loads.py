"""What each dispatcher has in flight at each replica, as it says, and the sum of it over the fleet.

A digest is one dispatcher's gauge: the tokens that it has in flight at each replica now. A newer one replaces the older
one whole, so that a digest that arrives twice, late, or out of order counts nothing twice. One that grows old fades,
not to nothing but to the mean of what the others have there: as far as is known, a dispatcher that cannot be reached
still sends its requests.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pearhill.load_reports.peer_load_source import PeerLoadEstimate

HALF_LIFE_US = 750_000  # of a digest: some gossip intervals, and the length of a prefill
MAX_HALF_LIVES = 8  # after which a digest counts nothing
MAX_ROWS = 48  # replicas of a digest; those with the most work
MAX_TOKENS = 1 << 40  # a row with more is discarded

Version = tuple[int, int]  # incarnation and sequence: the larger is the newer


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """One dispatcher's tokens at one replica: yet to be prefilled there, and in flight there in all."""

    replica: int
    queued_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class _Digest:
    version: Version
    received_at: int
    rows: dict[int, ReplicaLoad]  # by replica


def largest_loads(rows: Iterable[ReplicaLoad]) -> list[ReplicaLoad]:
    """The rows of a digest, which has room for `MAX_ROWS`: the largest."""
    return sorted(rows, key=lambda row: (-row.total_tokens, row.replica))[:MAX_ROWS]


class PeerLoads:
    """The last digest of each peer, and their sums."""

    def __init__(self) -> None:
        self._last: dict[str, _Digest] = {}
        # By replica there are few rows; a walk through all peers would make each choice slower the more there are.
        self._by_replica: dict[int, dict[str, ReplicaLoad]] = {}
        self._counted: Collection[str] = ()
        # Of those counted: as of the last `update_weights`, and 1 if received since.
        self._weights: dict[str, float] = {}
        self._total_weight = 1.0  # their sum, and 1 for this dispatcher, whose own work is known

    def receive(self, now: int, name: str, version: Version, rows: Iterable[ReplicaLoad]) -> bool:
        """Take in a peer's digest. False: it is no newer than the last one."""
        last = self._last.get(name)
        if last and version <= last.version:
            return False
        self._remove_rows(name)
        digest = _Digest(version, now, {row.replica: row for row in rows if _is_plausible(row)})
        self._last[name] = digest
        for replica, row in digest.rows.items():
            self._by_replica.setdefault(replica, {})[name] = row
        if name in self._weights:
            self._total_weight += 1 - self._weights[name]
            self._weights[name] = 1.0
        return True

    def last_row(self, name: str, replica: int) -> ReplicaLoad | None:
        """What a peer's last digest says of a replica; None: nothing."""
        last = self._last.get(name)
        return last.rows.get(replica) if last else None

    def update_weights(self, now: int, counted: Collection[str]) -> None:
        """Compute anew which peers count, and how much.

        Called at every gossip interval, within which hardly anything fades, and not at a choice, which would become
        slower the more peers there are. The same object as at the last call is taken for the same peers.
        """
        if self._counted is not counted:
            self._counted = counted
            self._weights = {name: self.weight(now, name) for name in counted}
            self._total_weight = 1 + sum(self._weights.values())

    def estimate_peer_load(
        self, now: int, replica: int, counted: Collection[str], own: ReplicaLoad
    ) -> PeerLoadEstimate:
        """The sum over the peers that are `counted`, whether they can be reached or not.

        `counted` as in `update_weights`.
        A peer of which nothing is known counts as the mean of this dispatcher and all of which something is known.
        """
        self.update_weights(now, counted)
        queued = float(own.queued_tokens)
        total = float(own.total_tokens)
        weights = self._weights
        for name, row in self._by_replica.get(replica, {}).items():
            if name in weights:
                weight = self.weight(now, name)
                queued += weight * row.queued_tokens
                total += weight * row.total_tokens
        known = self._total_weight
        peers = len(weights)
        unknown = peers + 1 - known
        scale = 1 + unknown / known
        return PeerLoadEstimate(
            max(0.0, queued * scale - own.queued_tokens),
            max(0.0, total * scale - own.total_tokens),
            (known - 1) / peers if peers else 1.0,
        )

    def keep(self, names: Collection[str]) -> None:
        """Forget the digests of all but these peers."""
        for gone in self._last.keys() - set(names):
            self._remove_rows(gone)
            del self._last[gone]

    def weight(self, now: int, name: str) -> float:
        """How much a peer's last digest counts: 1 when it arrives, half after a half-life, 0 after a few."""
        last = self._last.get(name)
        if last is None:
            return 0.0
        age = max(0, now - last.received_at)
        return 0.5 ** (age / HALF_LIFE_US) if age < MAX_HALF_LIVES * HALF_LIFE_US else 0.0

    def _remove_rows(self, name: str) -> None:
        last = self._last.get(name)
        if last is None:
            return
        for replica in last.rows:
            rows = self._by_replica[replica]
            del rows[name]
            if not rows:
                del self._by_replica[replica]


def _is_plausible(row: ReplicaLoad) -> bool:
    return 0 <= row.queued_tokens <= MAX_TOKENS and 0 <= row.total_tokens <= MAX_TOKENS
