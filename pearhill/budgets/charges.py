"""What the journal keeps of a charge, and how a folder of them becomes balances again. Bytes in, bytes out; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from pearhill.budgets.budgets import Budgets

# Outcomes, as the journal and the bill have them.
ANSWERED = "answered"
TRUNCATED = "broken"
FAILED = "failed"
DISCONNECTED = "left"
REJECTED = "refused"
DECLINED = "declined"


class Charge(msgspec.Struct, array_like=True, frozen=True):
    """One request that was settled, or `count` rejections of a tenant.

    `at`: microseconds of the dispatcher's clock; `wall`: seconds of the calendar; `prompt`, `cached` and `answer`:
    tokens; `milli`: what it costs; `spare`: it was out of burst capacity; `day` and `month`: its period. The names are
    columns of the bill, and their order is the form in the journal.
    """

    at: int
    wall: int
    id: str
    tenant: str
    key: str
    account: str
    model: str
    path: str
    outcome: str
    prompt: int
    cached: int
    answer: int
    milli: int
    spare: bool
    day: int
    month: int
    debt: int = 0  # tokens by which it outgrew its reservation
    count: int = 1


_charge_decoder: msgspec.msgpack.Decoder[Charge] = msgspec.msgpack.Decoder(Charge)
_state_decoder: msgspec.msgpack.Decoder[dict[str, Any]] = msgspec.msgpack.Decoder(dict[str, Any])


def encode_charge(charge: Charge) -> bytes:
    """A charge as the journal keeps it."""
    return msgspec.msgpack.encode(charge)


def decode_charge(body: bytes) -> Charge:
    """The charge in a journal's record. ValueError: it is none."""
    return _charge_decoder.decode(body)


def encode_state(budgets: Budgets) -> bytes:
    """All balances, for a snapshot of the journal."""
    return msgspec.msgpack.encode(budgets.state())


def rebuild(budgets: Budgets, state: bytes | None, bodies: Iterable[bytes], now: int) -> int:
    """Restore balances as they were when the last of the charges was made; returns how many charges were replayed.

    ValueError: the state or a charge cannot be read.
    """
    if state is not None:
        budgets.restore(_state_decoder.decode(state), now)
    count = 0
    for body in bodies:
        charge = decode_charge(body)
        if charge.outcome != REJECTED:
            _replay(budgets, charge, now)
        count += 1
    return count


def _replay(budgets: Budgets, charge: Charge, now: int) -> None:
    budgets.replay(
        min(charge.at, now),
        charge.tenant,
        charge.key,
        charge.account,
        charge.milli,
        charge.spare,
        charge.day,
        charge.month,
        charge.answer,
    )
