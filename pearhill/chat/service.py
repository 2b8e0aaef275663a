"""The chat front with all that it stands on: for the daemon and for the ASGI middleware alike."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.chat.budget_accounting import BudgetAccounting
from pearhill.chat.front import ChatFront
from pearhill.chat.records import Store
from pearhill.chat.servers import ChatDialect
from pearhill.chat.setup import ChatSetup
from pearhill.config import for_next_start
from pearhill.durable.recovery import CorruptJournalError
from pearhill.eureka.client import Eureka
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.net.address import Address
from pearhill.net.fleet import Fleet
from pearhill.node.limits import Limits
from pearhill.node.node import Node
from pearhill.node.operations import Operations

SEND_BUFFER = 64 * 1024  # a stream is some KB a second; more than that is a client that does not read


class ChatService:
    """Belongs to the running event loop. `open` before its front is used, `close` at the end."""

    def __init__(self, setup: ChatSetup) -> None:
        self.setup = setup
        self.dialect = ChatDialect(setup.server_keys, setup.server_key)
        limits = Limits(
            setup.sockets, setup.seed, setup.max_body, SEND_BUFFER, has_admin_endpoint=setup.admin is not None
        )
        self.node = node = Node(setup.deployment, self.dialect, limits)
        self.store = Store(node.deadlines, setup.store_bytes, setup.store_keep)
        self.accounting = BudgetAccounting(setup.accounting, node.deadlines) if setup.accounting else None
        self.front = ChatFront(
            node.dispatcher, setup.reading, setup.keyring, self.store, node.pool.spawn, self.is_ready, self.accounting
        )
        if self.accounting:
            node.on_report = self.accounting.log_top_tenants
        self.fleet = Fleet(setup.fleet, setup.seed, node.deadlines, self._work) if setup.fleet else None
        if self.fleet:
            self.fleet.on_count = node.share_work
        self._eureka = self._registry(setup)
        self._address: Address | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._registering: asyncio.Task[None] | None = None

    def _work(self) -> list[ReplicaLoad]:
        return [ReplicaLoad(*row) for row in self.node.dispatcher.router.own_load()]

    def _registry(self, setup: ChatSetup) -> Eureka | None:
        return (
            Eureka(self.node.pool, setup.eureka, setup.deployment, self.node.update_endpoints) if setup.eureka else None
        )

    def is_ready(self) -> bool:
        return not self.node.drain.out_of_rotation and self.node.dispatcher.can_answer

    async def open(self) -> None:
        """OSError: the journal of the budgets cannot be used."""
        if self.accounting:
            try:
                self.accounting.open()
            except (CorruptJournalError, ValueError) as e:
                raise OSError(
                    f"budgets.folder: {self.setup.accounting and self.setup.accounting.folder}: {e}"
                ) from None
        if self.fleet:
            name, address = self.fleet.setup.name, self.fleet.setup.listen
            try:
                host, port = await self.fleet.open()
            except OSError as e:
                raise OSError(f"fleet.listen: {address[0]}:{address[1]}: {e.strerror or e}") from None
            self.node.dispatcher.router.use_peers(self.fleet.sources)
            logger.info("fleet: {name} talks on {host}:{port}", name=name, host=host, port=port)
        if self.setup.endpoints:
            self.node.update_endpoints(True, self.setup.endpoints, self.setup.addresses)
        if self._eureka:
            self._fetching = self.node.pool.spawn(self._eureka.follow())

    def register(self, address: Address) -> None:
        """Tell the registry where this dispatcher listens."""
        self._address = address
        if self._eureka and self._eureka.setup.register_as:
            self._registering = self.node.pool.spawn(self._eureka.keep_registered(address))

    async def deregister(self) -> None:
        if self._eureka and self._registering:
            self._registering.cancel()
            self._registering = None
            await self._eureka.cancel()

    def reload(self, fresh: ChatSetup) -> str:
        """Another operator's file, for all that is taken from now on."""
        before, node = self.setup, self.node
        node.reconfigure(fresh.deployment)
        self.setup, self.front.reading, self.front.keyring = fresh, fresh.reading, fresh.keyring
        self.dialect.keys, self.dialect.key = fresh.server_keys, fresh.server_key
        if self.fleet and fresh.fleet:
            self.fleet.reconfigure(fresh.fleet)
        if self.accounting and fresh.accounting:
            self.accounting.reconfigure(fresh.accounting)
        self.store.reconfigure(fresh.store_bytes, fresh.store_keep)
        if fresh.eureka != before.eureka:
            self._move(fresh)
        elif self._eureka:
            self._eureka.deployment = fresh.deployment
        if not fresh.eureka:
            node.update_endpoints(True, fresh.endpoints, fresh.addresses)
        return f"{len(fresh.reading.rules)} rules, {len(fresh.keyring.tenants)} tenants" + for_next_start(
            ("chat.listen", before.listen, fresh.listen),
            ("chat.admin_addr", before.admin, fresh.admin),
            ("chat.sockets", before.sockets, fresh.sockets),
            ("fleet", before.fleet is None, fresh.fleet is None),
            ("fleet.name", before.fleet and before.fleet.name, fresh.fleet and fresh.fleet.name),
            ("fleet.region", before.fleet and before.fleet.region, fresh.fleet and fresh.fleet.region),
            ("fleet.listen", before.fleet and before.fleet.listen, fresh.fleet and fresh.fleet.listen),
            ("chat.seed", before.seed, fresh.seed),
            ("chat.max_body_bytes", before.max_body, fresh.max_body),
            ("budgets", before.accounting is None, fresh.accounting is None),
            (
                "budgets.folder",
                before.accounting and before.accounting.folder,
                fresh.accounting and fresh.accounting.folder,
            ),
        )

    def _move(self, fresh: ChatSetup) -> None:
        """Another registry, or none: the old one is left, and the list is taken from the new one."""
        self._leave_registry()
        if self._eureka:
            self.node.pool.spawn(self._eureka.cancel())
        self._eureka = self._registry(fresh)
        if self._eureka:
            self._fetching = self.node.pool.spawn(self._eureka.follow())
        if self._address and not self.node.draining:
            self.register(self._address)

    def _leave_registry(self) -> None:
        for task in (self._fetching, self._registering):
            if task:
                task.cancel()
        self._fetching = self._registering = None

    async def close(self) -> None:
        """See through what was taken, then end."""
        self.node.end_process()
        await self.deregister()
        await self.node.wait_until_finished()
        self._leave_registry()
        if self.fleet:
            self.fleet.close()
        if self.accounting:
            self.accounting.close()
        self.node.close()


async def serve(setup: ChatSetup, read_anew: Callable[[], ChatSetup]) -> None:
    """The chat front as a daemon. `read_anew` reads the operator's file once more."""
    service = ChatService(setup)
    await service.open()
    node = service.node
    operations = Operations(
        node,
        lambda: node.accepting and node.dispatcher.can_answer,
        lambda: service.fleet.told(node) if service.fleet else None,
    )
    await node.serve(
        setup.listen,
        service.front,
        "chat front",
        lambda: service.reload(read_anew()),
        service.register,
        service.deregister,
        admin=(setup.admin, AdminEndpoint(operations)) if setup.admin else None,
    )
    await service.close()
