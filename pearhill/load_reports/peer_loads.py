"""The tokens that each dispatcher reports in flight at each replica, and their sum over the fleet.

A digest is a gauge of one dispatcher: the tokens that it has in flight at each replica now. A newer digest replaces the
older one completely, so no token is counted twice if a digest arrives twice, late, or out of order. As a digest ages,
its load decays not to zero but to the mean of the other dispatchers' load there, because a dispatcher that is
unreachable for this one is assumed to still send requests.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pearhill.load_reports.peer_load_source import PeerLoadEstimate

HALF_LIFE_US = 750_000  # of a digest's weight: a few gossip intervals, and the duration of a prefill
MAX_HALF_LIVES = 8  # after which a digest has no weight
MAX_ROWS = 48  # replicas in a digest; those with the most tokens are included
MAX_TOKENS = 1 << 40  # a row with more is discarded

Version = tuple[int, int]  # incarnation and sequence number; the larger is the newer


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """One dispatcher's tokens at one replica.

    `queued_tokens` are yet to be prefilled there. `total_tokens` are all that are in flight there.
    """

    replica: int
    queued_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class _Digest:
    version: Version
    received_at: int
    rows: dict[int, ReplicaLoad]  # by replica


def largest_loads(rows: Iterable[ReplicaLoad]) -> list[ReplicaLoad]:
    """Return the rows with the most tokens, at most `MAX_ROWS`, for a digest."""
    return sorted(rows, key=lambda row: (-row.total_tokens, row.replica))[:MAX_ROWS]


class PeerLoads:
    """The latest digest of each peer, and their sums."""

    def __init__(self) -> None:
        self._last: dict[str, _Digest] = {}
        # There are few rows for each replica. Without this index, each choice would iterate over all peers and become
        # slower the more peers there are.
        self._rows_by_replica: dict[int, dict[str, ReplicaLoad]] = {}
        self._counted_peers: Collection[str] = ()
        self._weights: dict[
            str, float
        ] = {}  # of the counted peers: as of the last `update_weights`, or 1 if received since
        self._total_weight = 1.0  # their sum, plus 1 for this dispatcher, whose own load is known

    def receive(self, now: int, name: str, version: Version, rows: Iterable[ReplicaLoad]) -> bool:
        """Store a peer's digest. Returns False if it is no newer than the last one."""
        last = self._last.get(name)
        if last and version <= last.version:
            return False
        self._remove_rows(name)
        digest = _Digest(version, now, {row.replica: row for row in rows if _is_plausible(row)})
        self._last[name] = digest
        for replica, row in digest.rows.items():
            self._rows_by_replica.setdefault(replica, {})[name] = row
        if name in self._weights:
            self._total_weight += 1 - self._weights[name]
            self._weights[name] = 1.0
        return True

    def latest_load(self, name: str, replica: int) -> ReplicaLoad | None:
        """Return the replica's row in a peer's last digest, or None if it has none."""
        last = self._last.get(name)
        return last.rows.get(replica) if last else None

    def update_weights(self, now: int, counted_peers: Collection[str]) -> None:
        """Recompute which peers count, and with which weights.

        This is called at every gossip interval, within which weights hardly decay, and not at each choice, which would
        become slower the more peers there are. If `counted_peers` is the same object as in the last call, the peers are
        taken to be unchanged.
        """
        if self._counted_peers is not counted_peers:
            self._counted_peers = counted_peers
            self._weights = {name: self.weight(now, name) for name in counted_peers}
            self._total_weight = 1 + sum(self._weights.values())

    def estimate_peer_load(
        self, now: int, replica: int, counted_peers: Collection[str], own: ReplicaLoad
    ) -> PeerLoadEstimate:
        """Return the sum over the `counted_peers`, reachable or not. `counted_peers` is as in `update_weights`.

        A peer whose load is unknown counts as the mean of this dispatcher and of all peers whose load is known.
        """
        self.update_weights(now, counted_peers)
        queued = float(own.queued_tokens)
        total = float(own.total_tokens)
        weights = self._weights
        for name, row in self._rows_by_replica.get(replica, {}).items():
            if name in weights:
                weight = self.weight(now, name)
                queued += weight * row.queued_tokens
                total += weight * row.total_tokens
        known_weight = self._total_weight
        peers = len(weights)
        unknown_weight = peers + 1 - known_weight
        scale = 1 + unknown_weight / known_weight
        return PeerLoadEstimate(
            max(0.0, queued * scale - own.queued_tokens),
            max(0.0, total * scale - own.total_tokens),
            (known_weight - 1) / peers if peers else 1.0,
        )

    def keep(self, names: Collection[str]) -> None:
        """Discard the digests of all peers except these."""
        for name in self._last.keys() - set(names):
            self._remove_rows(name)
            del self._last[name]

    def weight(self, now: int, name: str) -> float:
        """Return the weight of a peer's last digest: 1 on arrival, half after a half-life, 0 after `MAX_HALF_LIVES`."""
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
            rows = self._rows_by_replica[replica]
            del rows[name]
            if not rows:
                del self._rows_by_replica[replica]


def _is_plausible(row: ReplicaLoad) -> bool:
    return 0 <= row.queued_tokens <= MAX_TOKENS and 0 <= row.total_tokens <= MAX_TOKENS
