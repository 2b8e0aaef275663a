"""Whether a look at engines' load pays: what it gains by what it costs.

A look helps in so far as others' work is hidden from me. Measured on drawn days of the second deployment's shape (two
probes a choice, the price taken off, `docs/design/even-load.md`): with 5 dispatchers nothing, with 12 some 0.010 of
all worth, with 60 some 0.050, for the choice of a reader; a third of that more for the choice of a writer. That
is a logarithm of the count, as near as the days tell.
"""

from __future__ import annotations

import math

from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Role

ALONE = 5  # dispatchers, up to which my own work tells as much as an old report
GAIN = 0.02  # of all worth, for each e-fold of dispatchers beyond, where readers are looked at
WRITERS = 0.3  # of that, where writers are
PROBES = 2  # engines to a choice


def roles_worth_querying(settings: RouterSettings) -> frozenset[str]:
    """The roles at which to look before each choice; none where engines tell nothing."""
    if not settings.health_checks or settings.instances <= ALONE:
        return frozenset()
    gain, cost = GAIN * math.log(settings.instances / ALONE), PROBES * settings.health_check_price
    worth = {Role.PREFILL: gain, Role.DECODE: gain * WRITERS}
    return frozenset(role for role, part in worth.items() if part > cost)
