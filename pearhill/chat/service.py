"""The chat front end with all components that it needs, as used by the daemon and by the ASGI middleware."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.chat.budget_accounting import BudgetAccounting
from pearhill.chat.dialect import ChatDialect
from pearhill.chat.front import ChatFront
from pearhill.chat.records import RecordStore
from pearhill.chat.setup import ChatSetup
from pearhill.config import for_next_start
from pearhill.durable.recovery import CorruptJournalError
from pearhill.eureka.client import EurekaClient
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.net.address import Address
from pearhill.net.fleet import Fleet
from pearhill.node.limits import Limits
from pearhill.node.node import Node
from pearhill.node.operations import Operations

SEND_BUFFER_BYTES = 64 * 1024  # streams have a few KB/s: a client with more unsent data is not reading


class ChatService:
    """A chat front end and its node, budgets, fleet and registry, in the running event loop.

    Call `open` before the front end is used, and `close` at the end.
    """

    def __init__(self, setup: ChatSetup) -> None:
        self.setup = setup
        self.dialect = ChatDialect(setup.replica_keys, setup.default_replica_key)
        limits = Limits(
            setup.sockets,
            setup.seed,
            setup.max_body,
            SEND_BUFFER_BYTES,
            has_admin_endpoint=setup.admin is not None,
            memory_mb=setup.memory_mb,
        )
        self.node = node = Node(setup.deployment, self.dialect, limits)
        self.store = RecordStore(node.deadlines, setup.store_max_bytes, setup.store_retention)
        self.accounting = BudgetAccounting(setup.accounting, node.deadlines) if setup.accounting else None
        self.front = ChatFront(
            node.dispatcher,
            setup.request_rules,
            setup.keyring,
            self.store,
            node.pool.spawn,
            self.is_ready,
            self.accounting,
        )
        if self.accounting:
            node.on_report = self.accounting.log_top_tenants
        self.fleet = Fleet(setup.fleet, setup.seed, node.deadlines, self._own_loads) if setup.fleet else None
        if self.fleet:
            self.fleet.on_count_change = node.set_fleet_size
        self._eureka = self._new_eureka(setup)
        self._address: Address | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._registration_task: asyncio.Task[None] | None = None

    def is_ready(self) -> bool:
        """Returns whether load balancers should send requests to this dispatcher."""
        return not self.node.drain.out_of_rotation and self.node.dispatcher.has_ready_decoder

    async def open(self) -> None:
        """Recover the budgets, join the fleet and apply the first endpoint list.

        Raises OSError if the journal of the budgets or the fleet's address cannot be used.
        """
        if self.accounting:
            self._open_accounting(self.accounting)
        if self.fleet:
            await self._open_fleet(self.fleet)
        if self.setup.endpoints:
            self.node.update_endpoints(True, self.setup.endpoints, self.setup.addresses)
        if self._eureka:
            self._fetch_task = self.node.pool.spawn(self._eureka.poll_instances())

    def register(self, address: Address) -> None:
        """Register the address at which this dispatcher listens, and renew the registration until it is cancelled."""
        self._address = address
        if self._eureka and self._eureka.setup.register_as:
            self._registration_task = self.node.pool.spawn(self._eureka.keep_registered(address))

    async def deregister(self) -> None:
        """Remove this dispatcher from the registry, if it is registered."""
        if self._eureka and self._registration_task:
            self._registration_task.cancel()
            self._registration_task = None
            await self._eureka.cancel()

    def reload(self, new: ChatSetup) -> str:
        """Apply a new operator's file to all requests from now on. Returns a summary for the log."""
        old = self.setup
        self.node.reconfigure(new.deployment)
        self.setup = new
        self.front.request_rules = new.request_rules
        self.front.keyring = new.keyring
        self.dialect.replica_keys = new.replica_keys
        self.dialect.default_key = new.default_replica_key
        if self.fleet and new.fleet:
            self.fleet.reconfigure(new.fleet)
        if self.accounting and new.accounting:
            self.accounting.reconfigure(new.accounting)
        self.store.reconfigure(new.store_max_bytes, new.store_retention)
        if new.eureka != old.eureka:
            self._change_registry(new)
        elif self._eureka:
            self._eureka.deployment = new.deployment
        if not new.eureka:
            self.node.update_endpoints(True, new.endpoints, new.addresses)
        applied = f"{len(new.request_rules.rules)} rules, {len(new.keyring.tenants)} tenants"
        return applied + _changes_for_next_start(old, new)

    async def close(self) -> None:
        """Wait until all accepted requests have been answered, then close everything."""
        self.node.end_process()
        await self.deregister()
        await self.node.wait_until_finished()
        self._cancel_registry_tasks()
        if self.fleet:
            self.fleet.close()
        if self.accounting:
            self.accounting.close()
        self.node.close()

    def _own_loads(self) -> list[ReplicaLoad]:
        return [ReplicaLoad(*row) for row in self.node.dispatcher.router.own_loads()]

    def _open_accounting(self, accounting: BudgetAccounting) -> None:
        try:
            accounting.open()
        except (CorruptJournalError, ValueError) as e:
            folder = self.setup.accounting and self.setup.accounting.folder
            raise OSError(f"budgets.folder: {folder}: {e}") from None

    async def _open_fleet(self, fleet: Fleet) -> None:
        name = fleet.setup.name
        address = fleet.setup.listen
        try:
            host, port = await fleet.open()
        except OSError as e:
            raise OSError(f"fleet.listen: {address[0]}:{address[1]}: {e.strerror or e}") from None
        self.node.dispatcher.router.set_peer_load_source(fleet.sources)
        logger.info("fleet: {name} uses UDP address {host}:{port}", name=name, host=host, port=port)

    def _new_eureka(self, setup: ChatSetup) -> EurekaClient | None:
        if not setup.eureka:
            return None
        return EurekaClient(self.node.pool, setup.eureka, setup.deployment, self.node.update_endpoints)

    def _change_registry(self, new: ChatSetup) -> None:
        """Deregister from the old registry, and fetch the endpoint list from the new one, if there is one."""
        self._cancel_registry_tasks()
        if self._eureka:
            self.node.pool.spawn(self._eureka.cancel())
        self._eureka = self._new_eureka(new)
        if self._eureka:
            self._fetch_task = self.node.pool.spawn(self._eureka.poll_instances())
        if self._address and not self.node.draining:
            self.register(self._address)

    def _cancel_registry_tasks(self) -> None:
        for task in (self._fetch_task, self._registration_task):
            if task:
                task.cancel()
        self._fetch_task = None
        self._registration_task = None


def _changes_for_next_start(old: ChatSetup, new: ChatSetup) -> str:
    """Returns the changed keys that take effect only at the next start, for the log."""
    return for_next_start(
        ("chat.listen", old.listen, new.listen),
        ("chat.admin_addr", old.admin, new.admin),
        ("chat.sockets", old.sockets, new.sockets),
        ("chat.memory_mb", old.memory_mb, new.memory_mb),
        ("fleet", old.fleet is None, new.fleet is None),
        ("fleet.name", old.fleet and old.fleet.name, new.fleet and new.fleet.name),
        ("fleet.region", old.fleet and old.fleet.region, new.fleet and new.fleet.region),
        ("fleet.listen", old.fleet and old.fleet.listen, new.fleet and new.fleet.listen),
        ("chat.seed", old.seed, new.seed),
        ("chat.max_body_bytes", old.max_body, new.max_body),
        ("budgets", old.accounting is None, new.accounting is None),
        (
            "budgets.folder",
            old.accounting and old.accounting.folder,
            new.accounting and new.accounting.folder,
        ),
    )


async def serve(setup: ChatSetup, read_setup: Callable[[], ChatSetup]) -> None:
    """Run the chat front end as a daemon until its shutdown. `read_setup` reads the operator's file again."""
    service = ChatService(setup)
    await service.open()
    node = service.node
    operations = Operations(
        node,
        lambda: node.accepting and node.dispatcher.has_ready_decoder,
        lambda: service.fleet.figures(node) if service.fleet else None,
    )
    await node.serve(
        setup.listen,
        service.front,
        "chat front",
        lambda: service.reload(read_setup()),
        service.register,
        service.deregister,
        admin=(setup.admin, AdminEndpoint(operations)) if setup.admin else None,
    )
    await service.close()
