"""The roles whose replicas are queried before a choice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pearhill.load_reports.query_policy import roles_worth_querying
from pearhill.routing.topology import Role
from tests.driver import SETTINGS


@pytest.mark.parametrize(
    ("instances", "price", "health_checks", "roles"),
    [
        (1, 0.0, True, ()),
        (3, 0.0039, True, ()),
        (5, 0.0, True, ()),
        (8, 0.0039, True, (Role.PREFILL,)),
        (12, 0.0039, True, (Role.PREFILL,)),
        (60, 0.0039, True, (Role.PREFILL, Role.DECODE)),
        (60, 0.2, True, ()),
        (200, 0.0039, False, ()),
        (8, 0.0, True, (Role.PREFILL, Role.DECODE)),
    ],
)
def test_roles_are_queried_only_if_the_gain_exceeds_the_price(
    instances: int, price: float, health_checks: bool, roles: tuple[Role, ...]
) -> None:
    assert roles_worth_querying(
        replace(SETTINGS, instances=instances, health_check_price=price, health_checks=health_checks)
    ) == set(roles)
