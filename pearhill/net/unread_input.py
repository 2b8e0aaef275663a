"""Whether a socket holds bytes that have not been read yet, by a system call that does not take them."""

from __future__ import annotations

import enum
import socket

from pearhill.net.socket_reader import is_transient


class UnreadInput(enum.Enum):
    """What a look at a socket shows. The look itself may fail for want of memory: then nothing is known."""

    NONE = 0
    SOME = 1
    UNKNOWN = 2


def peek_unread_input(sock: socket.socket) -> UnreadInput:
    """Look for unread bytes. The end of the connection and an error on it count as none."""
    try:
        data = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return UnreadInput.NONE
    except OSError as error:
        return UnreadInput.UNKNOWN if is_transient(error) else UnreadInput.NONE
    return UnreadInput.SOME if data else UnreadInput.NONE
