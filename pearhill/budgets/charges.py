"""What the journal keeps of a charge, and how a folder of them becomes balances again. Bytes in, bytes out; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from pearhill.budgets.budgets import Budgets

ANSWERED, BROKEN, FAILED, LEFT, REFUSED, DECLINED = "answered", "broken", "failed", "left", "refused", "declined"


class Charge(msgspec.Struct, array_like=True, frozen=True):
    """One request that was settled, or `count` refusals of a tenant. `at`: microseconds of the dispatcher's clock,
    `wall`: seconds of the calendar; tokens; `milli`: what it costs; `day` and `month` are its period."""

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


_decoder: msgspec.msgpack.Decoder[Charge] = msgspec.msgpack.Decoder(Charge)
_states: msgspec.msgpack.Decoder[dict[str, Any]] = msgspec.msgpack.Decoder(dict[str, Any])


def pack(charge: Charge) -> bytes:
    return msgspec.msgpack.encode(charge)


def unpack(body: bytes) -> Charge:
    """ValueError: it is no charge."""
    return _decoder.decode(body)


def pack_state(budgets: Budgets) -> bytes:
    return msgspec.msgpack.encode(budgets.state())


def rebuild(budgets: Budgets, state: bytes | None, bodies: Iterable[bytes], now: int) -> int:
    """Balances as they were when the last of the charges was made; how many charges were replayed. ValueError: the
    state or a charge cannot be read."""
    if state is not None:
        budgets.restore(_states.decode(state), now)
    count = 0
    for body in bodies:
        charge = unpack(body)
        if charge.outcome != REFUSED:
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
        count += 1
    return count
