"""Talks to a Eureka registry: follows its list, and keeps this dispatcher registered there."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from loguru import logger

from pearhill.eureka.registry import BadRegistry, Registry
from pearhill.eureka.setup import EurekaSetup
from pearhill.http1 import messages
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import Pool
from pearhill.net.ticks import pause
from pearhill.routing.topology import Endpoint
from pearhill.settings import Deployment

ANSWER_WITHIN = 5_000_000
RETRY = 1_000_000  # after a call that failed, or the fetch period where that is shorter
CANCEL_WITHIN = 1_000_000
FAILURES = (OSError, TimeoutError, ValueError, ConnectError)

OnList = Callable[[bool, tuple[Endpoint, ...], dict[int, Address]], None]


class Eureka:
    def __init__(self, pool: Pool, setup: EurekaSetup, deployment: Deployment, on_list: OnList) -> None:
        self.pool, self.setup, self.deployment, self.on_list = pool, setup, deployment, on_list
        self.registry = Registry()
        self._host = f"{setup.address[0]}:{setup.address[1]}"
        self._instance = setup.instance
        self._registered = self._told = False  # the registry has said yes; it may have heard of this one

    async def _call(self, method: str, path: str, body: Any = None, within: int = ANSWER_WITHIN) -> tuple[int, bytes]:
        headers = [("Accept", "application/json")]
        data = None
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            data = json.dumps(body).encode()
        return await call(
            self.pool,
            self.setup.address,
            messages.request(method, self.setup.base + path, self._host, headers, data),
            within,
        )

    async def _fetch(self, path: str) -> Any:
        status, body = await self._call("GET", path)
        if status != 200:
            raise BadRegistry(f"{path}: status {status}")
        return json.loads(body)

    async def follow(self) -> None:
        """The whole list, then deltas. While the registry is down the last list stays in force."""
        whole, period = True, self.setup.fetch_s * 1_000_000
        while True:
            wait = period
            try:
                if not whole and not self.registry.apply(await self._fetch("/apps/delta")):
                    logger.warning("eureka: the delta does not add up, the whole list is fetched")
                    whole = True
                if whole:
                    self.registry.replace(await self._fetch("/apps"))
                    whole = False
                self.on_list(True, *self.registry.servers(self.setup.vip, self.deployment))
            except FAILURES as e:
                logger.warning("eureka: the list cannot be had, the last one stays: {error}", error=repr(e))
                whole, wait = True, min(period, RETRY)  # Danger: deltas reach back only so far.
            await pause(self.pool.deadlines, wait)

    def _own(self, address: Address) -> dict[str, Any]:
        setup, (host, port) = self.setup, address
        now = int(time.time() * 1000)
        return {
            "instance": {
                "instanceId": self._instance,
                "hostName": host,
                "app": setup.app,
                "ipAddr": host,
                "status": "UP",
                "overriddenstatus": "UNKNOWN",
                "port": {"$": port, "@enabled": "true"},
                "securePort": {"$": 443, "@enabled": "false"},
                "countryId": 1,
                "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
                "leaseInfo": {"renewalIntervalInSecs": setup.renew_s, "durationInSecs": setup.lease_s},
                "metadata": {"role": "dispatcher"},
                "vipAddress": setup.app.lower(),
                "healthCheckUrl": f"http://{host}:{port}/ready",
                "lastUpdatedTimestamp": str(now),
                "lastDirtyTimestamp": str(now),
            }
        }

    @property
    def _path(self) -> str:
        return f"/apps/{quote(self.setup.app)}/{quote(self._instance, safe='')}"

    async def keep_registered(self, address: Address) -> None:
        self._instance = self._instance or f"{address[0]}:{self.setup.app.lower()}:{address[1]}"
        period = self.setup.renew_s * 1_000_000
        while True:
            wait = period
            try:
                if self._registered:
                    status, _ = await self._call("PUT", self._path + "?status=UP")
                    if status == 404:  # the registry has lost the lease
                        self._registered, wait = False, 0
                    elif status != 200:
                        raise BadRegistry(f"renewal: status {status}")
                else:
                    self._told = True
                    status, _ = await self._call("POST", f"/apps/{quote(self.setup.app)}", self._own(address))
                    if status not in (200, 204):
                        raise BadRegistry(f"registration: status {status}")
                    self._registered = True
                    logger.info("eureka: registered as {instance}", instance=self._instance)
            except FAILURES as e:
                logger.warning("eureka: {error}", error=repr(e))
                wait = min(period, RETRY)
            await pause(self.pool.deadlines, wait)

    async def cancel(self) -> None:
        """At the end: no one is to be sent here any more."""
        # Danger: told to end before the answer to a registration has come, it would stay registered for its lease.
        if not self._told:
            return
        self._registered = self._told = False
        try:
            await self._call("DELETE", self._path, within=CANCEL_WITHIN)
        except FAILURES as e:
            logger.warning("eureka: the registration could not be cancelled: {error}", error=repr(e))
