"""A check for unread input consumes nothing, and reports when it could not determine the result."""

import errno
import os
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from pearhill.net.unread_input import UnreadInput, peek_unread_input


class FailingSocket:
    """A socket on which every read fails with the error `number`."""

    def __init__(self, number: int) -> None:
        self.number = number

    def recv(self, size: int, flags: int = 0) -> bytes:
        raise OSError(self.number, os.strerror(self.number))


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as ours:
        theirs, _ = server.accept()
        with theirs:
            yield ours, theirs


def test_a_check_finds_bytes_and_does_not_consume_them(pair: tuple[socket.socket, socket.socket]) -> None:
    ours, theirs = pair
    assert peek_unread_input(ours) == UnreadInput.NONE
    theirs.sendall(b"two")
    ours.recv(1, socket.MSG_PEEK)  # waits until they have arrived
    assert peek_unread_input(ours) == UnreadInput.SOME
    assert ours.recv(10) == b"two"
    assert peek_unread_input(ours) == UnreadInput.NONE


def test_the_end_of_a_connection_is_not_unread_input(pair: tuple[socket.socket, socket.socket]) -> None:
    ours, theirs = pair
    theirs.shutdown(socket.SHUT_WR)
    assert ours.recv(1) == b""
    assert peek_unread_input(ours) == UnreadInput.NONE


@pytest.mark.parametrize(
    ("number", "found"),
    [
        (errno.ENOMEM, UnreadInput.UNKNOWN),
        (errno.ENOBUFS, UnreadInput.UNKNOWN),
        (errno.EINTR, UnreadInput.UNKNOWN),
        (errno.ECONNRESET, UnreadInput.NONE),
    ],
)
def test_a_failed_check_is_unknown_unless_the_connection_is_broken(number: int, found: UnreadInput) -> None:
    sock: Any = FailingSocket(number)
    assert peek_unread_input(sock) == found
