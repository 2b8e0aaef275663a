"""An id that comes again does not execute a request twice that must not be repeated, on the real program."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.platform.test_owed import (  # noqa: F401
    CONNECTION_ENDS,
    SERVED,
    LoopbackDispatcher,
    loopback,
    read_answer,
    request,
)
from tests.standins import STREAM_CHUNKS, STREAM_END, Standin, StandinHandler


def send(loopback: LoopbackDispatcher, id: str, cls: str = "job-booking") -> int:  # noqa: F811
    """Send a request on a connection of its own, and return the status of its answer."""
    client = loopback.connect()
    client.sendall(request(id, cls))
    status = read_answer(client)[0]
    client.close()
    return status


def wait_until_left(loopback: LoopbackDispatcher, count: int) -> None:  # noqa: F811
    """Wait until the program has noticed that this number of clients have left."""
    loopback.wait_for_counters(lambda counters: counters["left"] >= count)


def runs(server: Standin) -> list[str]:
    """Return the ids of the requests that a replica has begun."""
    return [headers["Request-Id"] for headers in server.headers if "Request-Id" in headers]


@pytest.mark.parametrize("end", CONNECTION_ENDS)
def test_a_booking_is_not_begun_again_when_its_id_comes_back_after_its_client_left(
    loopback: LoopbackDispatcher,  # noqa: F811
    end: Callable[[Any], None],
) -> None:
    """Guards against picture (c) of the second review: an id was free as soon as its client had left, and 6 of 6
    bookings that came again half a second later ran twice."""
    server = Standin()
    server.respond = lambda handler, body: server.release_answers.wait(20)
    loopback.start((server, "all-in-one"))
    for number in range(3):
        client = loopback.connect()
        client.sendall(request(f"b{number}"))
        server.wait_for("POST", count=number + 1)
        end(client)
        wait_until_left(loopback, number + 1)
        assert send(loopback, f"b{number}") == 409
    assert runs(server) == ["b0", "b1", "b2"]


def test_a_booking_that_was_served_or_that_failed_is_not_begun_again(
    loopback: LoopbackDispatcher,  # noqa: F811
) -> None:
    """The same cause: an id was free as soon as its request was answered, whatever the answer."""
    server = Standin()

    def respond(handler: StandinHandler, body: bytes) -> None:
        if "failed" in handler.headers["Request-Id"]:
            return handler.send_response_body(500)
        handler.chunks(*STREAM_CHUNKS, STREAM_END)

    server.respond = respond
    loopback.start((server, "all-in-one"))
    assert [send(loopback, id) for id in ("served", "failed", "served", "failed")] == [200, 500, 409, 409]
    assert runs(server) == ["served", "failed"]


def test_an_id_is_free_again_when_its_request_was_never_executed_or_may_be_repeated(
    loopback: LoopbackDispatcher,  # noqa: F811
) -> None:
    server = Standin()

    def respond(handler: StandinHandler, body: bytes) -> None:
        if not server.release_answers.is_set():
            return handler.send_response_body(503, Not_Started="1")
        handler.chunks(*STREAM_CHUNKS, STREAM_END)

    server.respond = respond
    loopback.start((server, "all-in-one"))
    assert send(loopback, "booked") == 503
    server.release_answers.set()
    assert [send(loopback, id, cls) for id, cls in (("booked", "job-booking"), ("a", "advice"), ("a", "advice"))] == [
        200,
        200,
        200,
    ]
    usual = loopback.connect()
    usual.sendall(request("usual"))
    assert read_answer(usual) == (200, SERVED)
