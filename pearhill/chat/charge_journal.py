"""The journal of one process's charges: recovers balances, appends charges and handles failures of the disk."""

from __future__ import annotations

import asyncio
import pathlib

from loguru import logger

from pearhill.budgets import Budgets, charges
from pearhill.durable.journal import Journal
from pearhill.durable.recovery import recover

CHARGES_PER_SNAPSHOT = 10_000


class ChargeJournal:
    """Appends charges to the journal, if there is one, and limits the tokens that are served while its disk fails.

    `uncounted_tokens` is the number of tokens that are served while the disk fails; with 0, every request is rejected
    during that time.
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
        """Whether the disk fails and the tokens that may be served during that time are used up."""
        return self._failing and self._uncounted_milli >= self.uncounted_tokens * 1000

    def open(self, folder: pathlib.Path, now: int) -> None:
        """Rebuild the balances from `folder`, and open it for further charges.

        `now` is in microseconds of the dispatcher's clock. Raises CorruptJournalError, OSError or ValueError if the
        balances cannot be recovered.
        """
        recovered = recover(folder)
        count = charges.rebuild(self._budgets, recovered.state, (frame.body for frame in recovered.frames), now)
        logger.info(
            "budgets: {count} charges replayed after snapshot {snapshot}, {cut} bytes of a torn write truncated",
            count=count,
            snapshot=recovered.state_seq,
            cut=recovered.torn_bytes,
        )
        loop = asyncio.get_running_loop()

        def notify_disk_state(error: OSError | None) -> None:
            """Run `_handle_disk_state` in the event loop: the journal calls this on its own thread."""
            loop.call_soon_threadsafe(self._handle_disk_state, error)

        self._journal = Journal(folder, recovered.seq, lambda seq: None, notify_disk_state)

    def count_if_failing(self, milli: int) -> None:
        """While the disk fails, count thousandths of a token that have just been charged."""
        if self._failing:
            self._uncounted_milli += milli

    def append(self, charge: charges.Charge) -> None:
        """Append a charge, and write a snapshot of the balances after every `CHARGES_PER_SNAPSHOT` charges."""
        if self._journal is None:
            return
        try:
            self._journal.append(charges.encode_charge(charge))
        except BufferError:
            # The journal's buffer is full. This log line is then the only record of the charge.
            logger.error("budgets: the buffer of the journal is full, charge dropped: {charge}", charge=repr(charge))
            return
        self._charges_since_snapshot += 1
        if self._charges_since_snapshot >= CHARGES_PER_SNAPSHOT:
            self._charges_since_snapshot = 0
            self._snapshot(self._journal)

    def close(self) -> None:
        """Write a snapshot if there are charges since the previous one, and wait until the disk has been written."""
        if self._journal is None:
            return
        if self._charges_since_snapshot:
            self._snapshot(self._journal)
        if not self._journal.close():
            charge_count, size = self._journal.unwritten
            logger.error(
                "budgets: {charges} charges ({size} bytes) could not be written to {folder} before the process ended",
                charges=charge_count,
                size=size,
                folder=str(self._journal.folder),
            )

    def _snapshot(self, journal: Journal) -> None:
        """Write a snapshot of the balances. If this fails, the charges since the last snapshot stay in the journal."""
        try:
            journal.snapshot(charges.encode_state(self._budgets))
        except ValueError as error:
            logger.error("budgets: the snapshot of the balances could not be written: {error}", error=str(error))

    def _handle_disk_state(self, error: OSError | None) -> None:
        """Handle a change of the disk's state: `error` is why it fails, None if it can be written again."""
        self._failing = error is not None
        if error is None:
            logger.warning(
                "budgets: the journal can be written again; {milli} thousandths of a token were served uncounted",
                milli=self._uncounted_milli,
            )
            self._uncounted_milli = 0
            return
        mode = "requests are rejected"
        if self.uncounted_tokens:
            mode = f"{self.uncounted_tokens} tokens are served uncounted"
        logger.error("budgets: the journal cannot be written: {error}; {mode}", error=str(error), mode=mode)
