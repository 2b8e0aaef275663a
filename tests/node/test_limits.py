"""How the descriptors of a process are divided between clients and replicas."""

import pytest

from pearhill.node.limits import MIN_CONNECTIONS, Limits

MB = 1 << 20


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


@pytest.mark.parametrize(
    ("memory_mb", "process_count", "max_body", "request_memory_mb"),
    [(192, 1, MB, 48), (192, 2, MB, 24), (16, 2, MB, 8)],
)
def test_requests_get_a_quarter_of_the_memory_or_at_least_some_bodies(
    memory_mb: int, process_count: int, max_body: int, request_memory_mb: int
) -> None:
    limits = Limits(1024, 7, max_body=max_body, memory_mb=memory_mb)
    assert limits.request_memory_bytes(process_count) == request_memory_mb * MB
