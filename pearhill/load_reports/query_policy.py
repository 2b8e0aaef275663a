"""Whether it pays to query replicas' load before a choice: the gain against the price.

A query helps to the extent that this dispatcher cannot see the load of the others. Its gain grows with the logarithm of
the number of dispatchers (`docs/design/even-load.md`).
"""

from __future__ import annotations

import math

from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Role

MAX_DISPATCHERS_WITHOUT_GAIN = 5  # with so few, their own load is as good an estimate as an old report
# The gain as a fraction of all priority weight, for each e-fold of dispatchers above MAX_DISPATCHERS_WITHOUT_GAIN, when
# a prefill replica is chosen.
GAIN_PER_E_FOLD = 0.02
DECODE_GAIN_FRACTION = 0.3  # of that gain, when a decode replica is chosen
CHECKS_PER_CHOICE = 2


def roles_worth_querying(settings: RouterSettings) -> frozenset[str]:
    """Return the roles to query before each choice. There are none if replicas report nothing to health checks."""
    if not settings.health_checks or settings.instances <= MAX_DISPATCHERS_WITHOUT_GAIN:
        return frozenset()
    gain = GAIN_PER_E_FOLD * math.log(settings.instances / MAX_DISPATCHERS_WITHOUT_GAIN)
    price = CHECKS_PER_CHOICE * settings.health_check_price
    gain_by_role = {Role.PREFILL: gain, Role.DECODE: gain * DECODE_GAIN_FRACTION}
    return frozenset(role for role, role_gain in gain_by_role.items() if role_gain > price)
