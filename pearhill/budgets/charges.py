"""The journal's records of charges, and the rebuilding of balances from them. Works on bytes and performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from pearhill.budgets.budgets import Budgets

# Outcomes, as written in the journal and the bill.
ANSWERED = "answered"
TRUNCATED = "broken"
FAILED = "failed"
DISCONNECTED = "left"
REJECTED = "refused"
DECLINED = "declined"


class Charge(msgspec.Struct, array_like=True, frozen=True):
    """One settled request, or `count` rejections of a tenant.

    `at` is in microseconds of the dispatcher's clock and `wall` in seconds of calendar time. `prompt`, `cached` and
    `answer` are tokens; `milli` is the cost in thousandths of a token. `spare` is true if the request used burst
    capacity. `day` and `month` are its period, both counted since 1970. The names are columns of the bill, and the
    order of the fields is the format of the journal.
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
    debt: int = 0  # tokens used beyond the reservation
    count: int = 1


_charge_decoder: msgspec.msgpack.Decoder[Charge] = msgspec.msgpack.Decoder(Charge)
_state_decoder: msgspec.msgpack.Decoder[dict[str, Any]] = msgspec.msgpack.Decoder(dict[str, Any])


def encode_charge(charge: Charge) -> bytes:
    """Encode a charge as a record of the journal."""
    return msgspec.msgpack.encode(charge)


def decode_charge(body: bytes) -> Charge:
    """Decode a record of the journal. Raises ValueError if it is not a charge."""
    return _charge_decoder.decode(body)


def encode_state(budgets: Budgets) -> bytes:
    """Encode all balances, for a snapshot of the journal."""
    return msgspec.msgpack.encode(budgets.state())


def rebuild(budgets: Budgets, state: bytes | None, bodies: Iterable[bytes], now: int) -> int:
    """Restore the balances after the last of the charges; returns the number of records read, rejections included.

    Raises ValueError if the state or a charge cannot be decoded.
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
