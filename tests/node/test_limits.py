"""How the descriptors of a process are divided between clients and replicas."""

import pytest

from pearhill.node.limits import MIN_CONNECTIONS, Limits


@pytest.mark.parametrize(
    ("sockets", "has_admin_endpoint", "process_count", "connections"),
    [
        (1024, False, 1, 488),
        (1024, False, 2, 232),
        (1024, True, 1, 480),
        (1024, True, 2, 224),
        (64, True, 1, MIN_CONNECTIONS),
    ],
)
def test_clients_and_replicas_get_half_each_of_what_is_not_reserved(
    sockets: int, has_admin_endpoint: bool, process_count: int, connections: int
) -> None:
    limits = Limits(sockets, 7, has_admin_endpoint=has_admin_endpoint)
    assert limits.connections(process_count) == connections
