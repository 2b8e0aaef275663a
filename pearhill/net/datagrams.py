"""One UDP socket for several protocols, which are distinguished by a datagram's first byte. Counts datagrams and logs
rejected ones; makes no decisions itself."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import cast

from loguru import logger

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.membership.message_authenticator import MessageRejectedError
from pearhill.net.address import Address

REJECTION_LOG_INTERVAL_US = 60_000_000  # minimum time between two log lines for rejected datagrams


class Datagrams(asyncio.DatagramProtocol):
    """The UDP socket.

    `receivers` has the function that handles the datagrams of each message version; it raises MessageRejectedError to
    reject one. `receive_buffer` is how many bytes the system should buffer while this process is busy, or 0 for the
    system's default. `counts` has datagrams and bytes in each direction, without the headers of IP and UDP.
    """

    def __init__(self, deadlines: Deadlines, side: str = "fleet", receive_buffer: int = 0) -> None:
        self.deadlines = deadlines
        self.side = side
        self.receive_buffer = receive_buffer
        self.receivers: dict[int, Callable[[bytes, Address], None]] = {}
        self.counts: Counter[str] = Counter()
        self._transport: asyncio.DatagramTransport | None = None
        self._rejected: Counter[str] = Counter()  # by reason, since the last log line
        self._last_rejected_peer = ""
        self._log_timer: TimerKey | None = None

    async def open(self, address: Address) -> Address:
        """Open the socket and return its address. Raises OSError if the address cannot be used."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        assert self._transport
        host, port = self._transport.get_extra_info("sockname")[:2]
        return host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the open socket; called by the event loop."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop has a type of its own
        if self.receive_buffer:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Count a datagram and dispatch it; called by the event loop."""
        self.counts["received"] += 1
        self.counts["bytes_in"] += len(data)
        try:
            self._dispatch(data, addr)
            self.counts["taken"] += 1
        except MessageRejectedError as e:
            self._reject(str(e), addr)

    def _dispatch(self, data: bytes, address: Address) -> None:
        if not data:
            raise MessageRejectedError("size")
        receiver = self.receivers.get(data[0])
        if receiver is None:
            raise MessageRejectedError("version")
        receiver(data, address)

    def _reject(self, reason: str, address: Address) -> None:
        self.counts[f"rejected {reason}"] += 1
        self._rejected[reason] += 1
        self._last_rejected_peer = "{}:{}".format(*address[:2])
        # With a line for each datagram, a flood of datagrams would also fill the log.
        if self._log_timer is None:
            self._log_rejected()

    def _log_rejected(self) -> None:
        """Log the first rejected datagram at once, and those of the following interval together at its end."""
        self._log_timer = None
        if not self._rejected:
            return
        logger.warning(
            "{side}: {count} datagrams were rejected: reasons={reasons}, the last from {peer}",
            side=self.side,
            count=self._rejected.total(),
            peer=self._last_rejected_peer,
            reasons=",".join(f"{reason}:{count}" for reason, count in sorted(self._rejected.items())),
        )
        self._rejected.clear()
        self._log_timer = self.deadlines.schedule_after(REJECTION_LOG_INTERVAL_US, self._log_rejected)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent; called by the event loop. A peer whose port is closed needs no other
        handling here, because its missing answers show the fault too."""
        self.counts[f"unsent {type(exc).__name__}"] += 1

    def send(self, data: bytes, address: Address) -> bool:
        """Send a datagram. Returns False if the socket is not open yet, or closed."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._transport.sendto(data, address)
        self.counts["sent"] += 1
        self.counts["bytes_out"] += len(data)
        return True

    def close(self) -> None:
        """Close the socket."""
        self.deadlines.cancel(self._log_timer)
        if self._transport:
            self._transport.close()
