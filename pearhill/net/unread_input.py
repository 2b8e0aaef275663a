"""Checks whether a socket has unread bytes, with a system call that does not consume them."""

from __future__ import annotations

import enum
import socket

from pearhill.net.socket_reader import is_transient


class UnreadInput(enum.Enum):
    """The result of a check for unread bytes. UNKNOWN means that the check itself failed, as for want of memory."""

    NONE = 0
    SOME = 1
    UNKNOWN = 2


def peek_unread_input(sock: socket.socket) -> UnreadInput:
    """Check a socket for unread bytes. The end of the connection or an error on it counts as none."""
    try:
        data = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return UnreadInput.NONE
    except OSError as error:
        return UnreadInput.UNKNOWN if is_transient(error) else UnreadInput.NONE
    return UnreadInput.SOME if data else UnreadInput.NONE
