"""The chat front with all that it stands on: for the daemon and for the ASGI middleware alike."""

from __future__ import annotations

import asyncio

from pearhill.chat.front import ChatFront
from pearhill.chat.records import Store
from pearhill.chat.servers import ChatDialect
from pearhill.chat.setup import ChatSetup
from pearhill.eureka.client import Eureka
from pearhill.net.address import Address
from pearhill.node import Limits, Node


class ChatService:
    """Belongs to the running event loop. `open` before its front is used, `close` at the end."""

    def __init__(self, setup: ChatSetup) -> None:
        self.setup = setup
        self.node = node = Node(setup.deployment, ChatDialect(), Limits(setup.sockets, setup.seed))
        self.store = Store(node.deadlines, setup.store_bytes, setup.store_keep)
        self.front = ChatFront(node.dispatcher, setup.reading, self.store, "pearhill", node.pool.spawn, self.is_ready)
        self._eureka = Eureka(node.pool, setup.eureka, setup.deployment, node.listed) if setup.eureka else None
        self._fetching: asyncio.Task[None] | None = None
        self._registering: asyncio.Task[None] | None = None

    def is_ready(self) -> bool:
        return not self.node.draining and self.node.dispatcher.can_answer

    async def open(self) -> None:
        if self.setup.entries:
            self.node.listed(True, self.setup.entries, self.setup.addresses)
        if self._eureka:
            self._fetching = self.node.pool.spawn(self._eureka.follow())

    def register(self, address: Address) -> None:
        """Tell the registry where this dispatcher listens."""
        if self._eureka and self._eureka.setup.app:
            self._registering = self.node.pool.spawn(self._eureka.keep_registered(address))

    async def deregister(self) -> None:
        if self._eureka and self._registering:
            self._registering.cancel()
            self._registering = None
            await self._eureka.cancel()

    async def close(self) -> None:
        """See through what was taken, then end."""
        self.node.draining = True
        await self.deregister()
        await self.node.until()
        if self._fetching:
            self._fetching.cancel()
        self.node.close()


async def serve(setup: ChatSetup) -> None:
    """The chat front as a daemon."""
    service = ChatService(setup)
    await service.open()
    await service.node.serve(setup.listen, service.front, "chat front", service.register, service.deregister)
    await service.close()
