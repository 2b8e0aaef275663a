"""A client of a Eureka registry: it polls the list of replicas and keeps this dispatcher registered."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from loguru import logger

from pearhill.eureka.registration import registration_body
from pearhill.eureka.registry import Registry, RegistryError
from pearhill.eureka.setup import EurekaSetup
from pearhill.http1 import messages
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import Pool
from pearhill.net.ticks import pause
from pearhill.routing.topology import Endpoint
from pearhill.settings import Deployment

CALL_TIMEOUT_US = 5_000_000
CANCEL_TIMEOUT_US = 1_000_000
MAX_RETRY_INTERVAL_US = 1_000_000  # upper limit of the pause after a failed call
CALL_ERRORS = (OSError, TimeoutError, ValueError, ConnectError)

ListCallback = Callable[[bool, tuple[Endpoint, ...], dict[int, Address]], None]


class EurekaClient:
    """A client of one Eureka registry.

    `poll_instances` and `keep_registered` run as tasks until they are cancelled. `on_list` is called with each list:
    True, as the list replaces the previous one, then the endpoints, and their addresses.
    """

    def __init__(self, pool: Pool, setup: EurekaSetup, deployment: Deployment, on_list: ListCallback) -> None:
        self.pool = pool
        self.setup = setup
        self.deployment = deployment
        self.on_list = on_list
        self.registry = Registry()
        self._host = f"{setup.address[0]}:{setup.address[1]}"
        self._instance_id = setup.instance
        self._registered = False  # the registry has accepted the registration
        self._may_be_registered = False  # a registration was sent and may have reached the registry

    async def poll_instances(self) -> None:
        """Fetch the full list, then deltas. While the registry is unavailable, the previous list remains in use."""
        period = self.setup.fetch_s * 1_000_000
        needs_full_list = True
        while True:
            wait = period
            try:
                await self._update_registry(needs_full_list)
                needs_full_list = False
                self._report_list()
            except CALL_ERRORS as e:
                logger.warning(
                    "eureka: fetching the instance list failed, the previous list stays in use: {error}", error=repr(e)
                )
                needs_full_list = True  # deltas cover a limited time only
                wait = min(period, MAX_RETRY_INTERVAL_US)
            await pause(self.pool.deadlines, wait)

    async def keep_registered(self, address: Address) -> None:
        """Register this dispatcher with this address, and renew its lease periodically."""
        self._instance_id = self._instance_id or f"{address[0]}:{self.setup.register_as.lower()}:{address[1]}"
        period = self.setup.renew_s * 1_000_000
        while True:
            wait = period
            try:
                if not self._registered:
                    await self._register(address)
                elif not await self._renew():
                    wait = 0
            except CALL_ERRORS as e:
                logger.warning("eureka: registration or lease renewal failed: {error}", error=repr(e))
                wait = min(period, MAX_RETRY_INTERVAL_US)
            await pause(self.pool.deadlines, wait)

    async def cancel(self) -> None:
        """Cancel the registration, so that the registry directs no more clients to this dispatcher.

        A registration that the registry has not confirmed yet is cancelled too: otherwise the dispatcher could remain
        registered until its lease expires.
        """
        if not self._may_be_registered:
            return
        self._registered = False
        self._may_be_registered = False
        try:
            await self._call("DELETE", self._instance_path, timeout=CANCEL_TIMEOUT_US)
        except CALL_ERRORS as e:
            logger.warning("eureka: cancelling the registration failed: {error}", error=repr(e))

    def _report_list(self) -> None:
        self.on_list(True, *self.registry.endpoints(self.setup.replica_app, self.deployment))

    async def _update_registry(self, full: bool) -> None:
        if not full:
            if self.registry.apply(await self._fetch("/apps/delta")):
                return
            # Its changes have been told, whatever was missed before them: a replica that drains may get no requests
            # while the full list is waited for.
            self._report_list()
            logger.warning("eureka: the hash code after the delta does not match, fetching the full list")
        self.registry.replace(await self._fetch("/apps"))

    async def _register(self, address: Address) -> None:
        self._may_be_registered = True
        body = registration_body(self.setup, self._instance_id, address)
        status, _ = await self._call("POST", f"/apps/{quote(self.setup.register_as)}", body)
        if status not in (200, 204):
            raise RegistryError(f"the registration was answered with status {status}")
        self._registered = True
        logger.info("eureka: registered as {instance}", instance=self._instance_id)

    async def _renew(self) -> bool:
        """Renew the lease.

        Returns False if the registry does not have the lease any more, so that this dispatcher must register again.
        """
        status, _ = await self._call("PUT", self._instance_path + "?status=UP")
        if status == 404:
            self._registered = False
            return False
        if status != 200:
            raise RegistryError(f"the lease renewal was answered with status {status}")
        return True

    @property
    def _instance_path(self) -> str:
        return f"/apps/{quote(self.setup.register_as)}/{quote(self._instance_id, safe='')}"

    async def _fetch(self, path: str) -> Any:
        status, body = await self._call("GET", path)
        if status != 200:
            raise RegistryError(f"GET {path} was answered with status {status}")
        return json.loads(body)

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: int = CALL_TIMEOUT_US
    ) -> tuple[int, bytes]:
        headers = [("Accept", "application/json")]
        data = None
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            data = json.dumps(body).encode()
        request = messages.request(method, self.setup.base + path, self._host, headers, data)
        return await call(self.pool, self.setup.address, request, timeout)
