"""One UDP socket for all who speak on it, told apart by a datagram's first byte: its counts, and a line in the log for
what is not taken. Decides nothing."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import cast

from loguru import logger

from pearhill.core.deadlines import Deadlines, Key
from pearhill.membership.message_authenticator import MessageRejectedError
from pearhill.net.address import Address

REJECTION_LOG_INTERVAL_US = 60_000_000  # at most one line for datagrams that are not taken


class Datagrams(asyncio.DatagramProtocol):
    """`takers`, by the version that they speak, raise Rejected for what they don't take. `receive_buffer`: bytes that
    the system is asked to hold while this process is busy; 0: as it likes. `counts`: datagrams and bytes, each way,
    headers of IP and UDP not among them."""

    def __init__(self, deadlines: Deadlines, side: str = "fleet", receive_buffer: int = 0) -> None:
        self.deadlines, self.side, self.receive_buffer = deadlines, side, receive_buffer
        self.receivers: dict[int, Callable[[bytes, Address], None]] = {}
        self.counts: Counter[str] = Counter()
        self._transport: asyncio.DatagramTransport | None = None
        self._rejected: Counter[str] = Counter()  # since the last line
        self._from = ""
        self._tell_key: Key | None = None

    async def open(self, address: Address) -> Address:
        """OSError: the address cannot be used."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        assert self._transport
        host, port = self._transport.get_extra_info("sockname")[:2]
        return host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)  # uvloop has one of its own
        if self.receive_buffer:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.counts["received"] += 1
        self.counts["bytes_in"] += len(data)
        try:
            if not data:
                raise MessageRejectedError("size")
            if (taker := self.receivers.get(data[0])) is None:
                raise MessageRejectedError("version")
            taker(data, addr)
            self.counts["taken"] += 1
        except MessageRejectedError as e:
            self.counts[f"rejected {e}"] += 1
            self._rejected[str(e)] += 1
            self._from = "{}:{}".format(*addr[:2])
            # Danger: whoever floods the port would fill the log as well.
            if self._tell_key is None:
                self._tell()

    def _tell(self) -> None:
        """The first at once, those of the minute that follows together at its end."""
        self._tell_key = None
        if self._rejected:
            logger.warning(
                "{side}: {count} datagrams are not taken: reasons={reasons}, the last from {peer}",
                side=self.side,
                count=self._rejected.total(),
                peer=self._from,
                reasons=",".join(f"{why}:{n}" for why, n in sorted(self._rejected.items())),
            )
            self._rejected.clear()
            self._tell_key = self.deadlines.after(REJECTION_LOG_INTERVAL_US, self._tell)

    def error_received(self, exc: Exception) -> None:
        self.counts[f"unsent {type(exc).__name__}"] += 1  # the other's port is closed: its silence tells the same

    def send(self, data: bytes, address: Address) -> bool:
        """False: there is no socket, or no more."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._transport.sendto(data, address)
        self.counts["sent"] += 1
        self.counts["bytes_out"] += len(data)
        return True

    def close(self) -> None:
        self.deadlines.cancel(self._tell_key)
        if self._transport:
            self._transport.close()
