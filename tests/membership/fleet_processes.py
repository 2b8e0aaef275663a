"""Base class of tests that run a fleet as processes and query the state of each."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from tests.admin.test_endpoint import call
from tests.standins import CleanupCase, Program


class FleetProcesses(CleanupCase):
    """`programs` and the addresses of the admin endpoints are by name; `run_one` of a subclass adds to both."""

    TIMEOUT_S = 30  # timeout of `wait_until`
    programs: dict[str, Program]
    admin_addresses: dict[str, str]

    def fleet_state(self, name: str) -> dict[str, Any]:
        """Returns the state of the fleet as this process reports it."""
        status, _, answer = call(self.admin_addresses[name], "GET", "/ops/fleet")
        assert status == 200
        figures: dict[str, Any] = json.loads(answer)
        return figures

    def wait_until(self, condition: Callable[[], Any], *names: str) -> None:
        """Waits until the condition holds; fails after WAIT_S with the fleet state of the named processes."""
        end = time.monotonic() + self.TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, [self.fleet_state(n) for n in names]
            time.sleep(0.05)
