"""The journal of one process's charges: balances recovered from it, charges appended to it, and its disk's failures."""

from __future__ import annotations

import asyncio
import pathlib

from loguru import logger

from pearhill.budgets import Budgets
from pearhill.budgets import charges as c
from pearhill.durable.journal import Journal
from pearhill.durable.recovery import recover

CHARGES_PER_SNAPSHOT = 10_000


class ChargeJournal:
    """Appends charges to the journal, if there is one, and counts what is served while its disk fails.

    `uncounted_tokens`: tokens that are served while the disk fails; 0: none, every request is rejected then.
    """

    def __init__(self, budgets: Budgets, uncounted_tokens: int) -> None:
        self.uncounted_tokens = uncounted_tokens
        self._budgets = budgets
        self._journal: Journal | None = None
        self._failing = False
        self._uncounted_milli = 0  # thousandths of a token served since the disk failed
        self._charges_since_snapshot = 0

    @property
    def rejects_requests(self) -> bool:
        """Whether the disk fails and the tokens that may be served meanwhile are used up."""
        return self._failing and self._uncounted_milli >= self.uncounted_tokens * 1000

    def open(self, folder: pathlib.Path, now: int) -> None:
        """Rebuild the balances from `folder` as of `now`, in microseconds of the dispatcher's clock, and append there.

        CorruptJournalError, OSError, ValueError: the balances cannot be had.
        """
        recovered = recover(folder)
        count = c.rebuild(self._budgets, recovered.state, (frame.body for frame in recovered.frames), now)
        logger.info(
            "budgets: {count} charges replayed behind snapshot {snapshot}, {cut} torn bytes cut",
            count=count,
            snapshot=recovered.state_seq,
            cut=recovered.torn_bytes,
        )
        loop = asyncio.get_running_loop()

        def disk_changed(error: OSError | None) -> None:
            """Called on the journal's thread."""
            loop.call_soon_threadsafe(self._disk_changed, error)

        self._journal = Journal(folder, recovered.seq, lambda seq: None, disk_changed)

    def count(self, milli: int) -> None:
        """Count thousandths of a token that have just been charged, if the disk fails."""
        if self._failing:
            self._uncounted_milli += milli

    def append(self, charge: c.Charge) -> None:
        """Append a charge, and a snapshot of the balances after every `CHARGES_PER_SNAPSHOT` of them."""
        if self._journal is None:
            return
        try:
            self._journal.append(c.encode_charge(charge))
        except BufferError:
            # The journal's buffer is full. The log line is the only trace of this charge.
            logger.error("budgets: a charge could not be kept: {charge}", charge=repr(charge))
            return
        self._charges_since_snapshot += 1
        if self._charges_since_snapshot >= CHARGES_PER_SNAPSHOT:
            self._charges_since_snapshot = 0
            self._snapshot(self._journal)

    def close(self) -> None:
        """Write a last snapshot, if there are charges since the one before, and wait for the disk."""
        if self._journal is None:
            return
        if self._charges_since_snapshot:
            self._snapshot(self._journal)
        if not self._journal.close():
            charges, size = self._journal.unwritten
            logger.error(
                "budgets: {charges} charges ({size} bytes) could not be written to {folder} before the end",
                charges=charges,
                size=size,
                folder=str(self._journal.folder),
            )

    def _snapshot(self, journal: Journal) -> None:
        """Have the balances written. Without a snapshot the charges since the last one stay in the journal."""
        try:
            journal.snapshot(c.encode_state(self._budgets))
        except ValueError as error:
            logger.error("budgets: the balances could not be kept: {error}", error=str(error))

    def _disk_changed(self, error: OSError | None) -> None:
        """The disk has begun to fail, or works again (no error)."""
        self._failing = error is not None
        if error is None:
            logger.warning(
                "budgets: the journal works again; {milli} thousandths of a token waited for it",
                milli=self._uncounted_milli,
            )
            self._uncounted_milli = 0
            return
        mode = "requests are refused"
        if self.uncounted_tokens:
            mode = f"{self.uncounted_tokens} tokens are served uncounted"
        logger.error("budgets: the journal cannot be written: {error}; {mode}", error=str(error), mode=mode)
