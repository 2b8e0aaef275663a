"""The base of tests that run a fleet as processes and ask each what it knows."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from tests.admin.test_endpoint import call
from tests.standins import CleanupCase, Program


class FleetProcesses(CleanupCase):
    """`programs` and the addresses for operators' calls are by name; `run_one` of a subclass adds to both."""

    WAIT_S = 30  # for what must come about
    programs: dict[str, Program]
    admin_addresses: dict[str, str]

    def told(self, name: str) -> dict[str, Any]:
        """What this process knows of the fleet."""
        status, _, answer = call(self.admin_addresses[name], "GET", "/ops/fleet")
        assert status == 200
        figures: dict[str, Any] = json.loads(answer)
        return figures

    def until(self, what: Callable[[], Any], *names: str) -> None:
        """Wait for it; fails after WAIT_S with what the named processes know."""
        end = time.monotonic() + self.WAIT_S
        while not what():
            assert time.monotonic() < end, [self.told(n) for n in names]
            time.sleep(0.05)
