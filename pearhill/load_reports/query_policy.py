"""Whether it pays to query replicas' load before a choice: the gain against the price.

A query helps in so far as the others' work is hidden from this dispatcher: its gain grows with the logarithm of the
number of dispatchers (`docs/design/even-load.md`).
"""

from __future__ import annotations

import math

from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Role

MAX_DISPATCHERS_WITHOUT_GAIN = 5  # so few know as much from their own work as from an old report
GAIN_PER_E_FOLD = 0.02  # of all priority weight, for each e-fold of dispatchers beyond, at the choice of a prefill
DECODE_GAIN_SHARE = 0.3  # of that, at the choice of a decode replica
CHECKS_PER_CHOICE = 2


def roles_worth_querying(settings: RouterSettings) -> frozenset[str]:
    """The roles to query before each choice; none where replicas report nothing."""
    if not settings.health_checks or settings.instances <= MAX_DISPATCHERS_WITHOUT_GAIN:
        return frozenset()
    gain = GAIN_PER_E_FOLD * math.log(settings.instances / MAX_DISPATCHERS_WITHOUT_GAIN)
    price = CHECKS_PER_CHOICE * settings.health_check_price
    gain_by_role = {Role.PREFILL: gain, Role.DECODE: gain * DECODE_GAIN_SHARE}
    return frozenset(role for role, gained in gain_by_role.items() if gained > price)
