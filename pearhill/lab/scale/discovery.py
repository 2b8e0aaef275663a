"""The scale run's discovery and its replicas, in one process.

The registry speaks what `pearhill.eureka` asks for: the whole list, deltas of the last while, the hash code over both.
Bodies are made once for each version, as Eureka's own response cache does. A replica is a listening address that
answers requests like `pearhill.lab.servers`, and probes with a report of its load.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import zlib
from collections import Counter
from typing import Any

from pearhill.http1.messages import RequestMessage, answer
from pearhill.http1.server import ServerConnection
from pearhill.lab.scale.child import Handle, run
from pearhill.lab.scale.files import LOOPBACK, REGISTRY_APP
from pearhill.lab.scenario import ServerTable
from pearhill.lab.servers import Model

KEEP_S = 180.0  # as far back as Eureka's own deltas reach
UP, LEAVING = "UP", "OUT_OF_SERVICE"
SIZES = {
    "reader": ServerTable("reader", slots=64, queue=256, memory_tokens=400_000),
    "writer": ServerTable("writer", slots=128, queue=256, memory_tokens=400_000, write_tokens_per_s=40.0),
}


class Registry:
    """The list, and what has lately changed in it. `keep_s`: so long a delta reaches back."""

    def __init__(self, keep_s: float) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[float, str, dict[str, Any]]] = []
        self.keep_s, self.version = keep_s, 0
        self._made: dict[bool, tuple[int, float, bytes]] = {}

    def put(
        self, id: str, address: str, kind: str, zone: str, now: float, status: str = UP, started: bool = True
    ) -> None:
        """`now`: of the monotonic clock; it stands in the row, so that who gets it can tell how old the change is."""
        host, _, port = address.rpartition(":")
        action, before = "MODIFIED" if id in self.rows else "ADDED", self.rows.get(id)
        up_ms = int(time.time() * 1000) if started else before["leaseInfo"]["serviceUpTimestamp"] if before else 0
        self.rows[id] = row = {
            "instanceId": id,
            "hostName": host,
            "app": REGISTRY_APP,
            "ipAddr": host,
            "status": status,
            "overriddenstatus": "UNKNOWN",
            "port": {"$": int(port), "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1,
            "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90, "serviceUpTimestamp": up_ms},
            "metadata": {
                "kind": kind,
                "zone": zone,
                "cell": str(zlib.crc32(zone.encode()) % 997),
                "changed_us": str(int(now * 1e6)),
            },
            "vipAddress": REGISTRY_APP.lower(),
            "lastUpdatedTimestamp": str(int(time.time() * 1000)),
            "lastDirtyTimestamp": str(int(time.time() * 1000)),
        }
        self._changed(now, action, row)

    def drop(self, id: str, now: float) -> None:
        self._changed(now, "DELETED", self.rows.pop(id))

    def _changed(self, now: float, action: str, row: dict[str, Any]) -> None:
        self.version += 1
        self.changes.append((now, action, row))

    def body(self, delta: bool, now: float) -> bytes:
        version, at, made = self._made.get(delta, (-1, 0.0, b""))
        if version == self.version and (not delta or now - at < 1.0):
            return made
        self.changes = [c for c in self.changes if now - c[0] <= self.keep_s]
        last = {c[2]["instanceId"]: {**c[2], "actionType": c[1]} for c in self.changes}
        rows = list(last.values()) if delta else list(self.rows.values())
        counts = Counter(row["status"] for row in self.rows.values())
        told = {
            "applications": {
                "versions__delta": str(self.version),
                "apps__hashcode": "".join(f"{s}_{counts[s]}_" for s in sorted(counts)),
                "application": [{"name": REGISTRY_APP, "instance": rows}] if rows else [],
            }
        }
        self._made[delta] = self.version, now, json.dumps(told).encode()
        return self._made[delta][2]


class Replica(Model):
    """One address. It answers probes as well."""

    async def _answer(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        if message.method != "GET":
            return await super()._answer(message, writer)
        share = self.held / self.table.memory_tokens
        writer.write(answer(200, body=f"x0={share:.3f},x1={self.waiting / 10:.3f}".encode()))
        return True


class Discovery:
    def __init__(self) -> None:
        self.registry = Registry(KEEP_S)
        self.rng = random.Random(1)
        self.counts: Counter[str] = Counter()
        self.servers: dict[str, asyncio.Server] = {}
        self.kinds: dict[str, str] = {}
        self.zones: list[str] = []
        self._made = 0

    async def handle(self, told: dict[str, Any]) -> dict[str, Any]:
        match told["order"]:
            case "open":
                return await self._open(told)
            case "counts":
                return {
                    "counts": dict(self.counts),
                    "version": self.registry.version,
                    "rows": len(self.registry.rows),
                    "cpu_s": time.process_time(),
                    "at": time.monotonic(),
                }
            case "names":
                return {"names": list(self.registry.rows)}
            case "replace":
                return {"changed": [await self._replace(id) for id in self._drawn(told["count"])]}
            case "drain":
                return {"changed": [self._drain(id) for id in self._drawn(told["count"])]}
            case "die":
                ids = (
                    [id for id in self.registry.rows if self.registry.rows[id]["metadata"]["zone"] == told["zone"]]
                    if told.get("zone")
                    else self._drawn(told["count"])
                )
                return {"changed": [await self._die(id, told["listed_s"]) for id in ids]}
            case "add":
                return {
                    "changed": [
                        await self._add(self.rng.choice(told.get("zones") or self.zones), told.get("kind") or "writer")
                        for _ in range(told["count"])
                    ]
                }
            case "turn":
                ids = [id for id, kind in self.kinds.items() if kind != told["kind"] and id in self.registry.rows]
                ids = self.rng.sample(ids, min(told["count"], len(ids)))
                return {"changed": [await self._replace(id, told["kind"]) for id in ids]}
        raise ValueError(f"order {told['order']!r}")

    def _drawn(self, count: int) -> list[str]:
        return self.rng.sample(list(self.registry.rows), min(count, len(self.registry.rows)))

    async def _open(self, told: dict[str, Any]) -> dict[str, Any]:
        self.rng, self.zones = random.Random(told["seed"]), told["zones"]
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=2048)
        readers = round(told["replicas"] * told["readers"])
        for k in range(told["replicas"]):
            # Spread evenly: within each zone there are as many readers and writers as in any other.
            kind = "reader" if (k * readers) % told["replicas"] < readers else "writer"
            await self._add(self.zones[k % len(self.zones)], kind, started=False)  # up for long: none is cold
        self.registry.changes.clear()  # they have long been there
        return {"address": "{}:{}".format(*server.sockets[0].getsockname()[:2])}

    async def _add(self, zone: str, kind: str, started: bool = True) -> str:
        self._made += 1
        id = f"{kind}-{self._made}"
        replica = Replica(SIZES[kind], self._made, time.monotonic())
        self.servers[id] = server = await asyncio.start_server(replica.serve, LOOPBACK, 0, backlog=1024)
        self.kinds[id] = kind
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self.registry.put(id, address, kind, zone, time.monotonic(), UP, started)
        return id

    async def _replace(self, id: str, kind: str = "") -> str:
        """Another one in its zone, under another name, at another address; then it goes."""
        zone = self.registry.rows[id]["metadata"]["zone"]
        await self._add(zone, kind or self.kinds[id])
        self._end(id)
        self.registry.drop(id, time.monotonic())
        return id

    def _drain(self, id: str) -> str:
        row = self.registry.rows[id]
        address = f"{row['ipAddr']}:{row['port']['$']}"
        self.registry.put(id, address, self.kinds[id], row["metadata"]["zone"], time.monotonic(), LEAVING, False)
        return id

    async def _die(self, id: str, listed_s: float) -> str:
        """It answers nothing from now on, and is listed until its lease is over."""
        self._end(id)

        def lost() -> None:
            if id in self.registry.rows:
                self.registry.drop(id, time.monotonic())

        asyncio.get_running_loop().call_later(listed_s, lost)
        return id

    def _end(self, id: str) -> None:
        if server := self.servers.pop(id, None):
            server.close()
        self.kinds.pop(id, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = ServerConnection(max_body=1 << 16)
        try:
            while data := await reader.read(1 << 16):
                self.counts["bytes_in"] += len(data)
                for message in machine.feed(data):
                    if not isinstance(message, RequestMessage):
                        return
                    self.counts["calls"] += 1
                    made = self._told(message)
                    self.counts["bytes_out"] += len(made)
                    writer.write(made)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            machine.close()
            writer.transport.abort()

    def _told(self, message: RequestMessage) -> bytes:
        path = message.path
        if message.method != "GET" or path not in ("/eureka/apps", "/eureka/apps/delta"):
            return answer(404)
        delta = path.endswith("/delta")
        self.counts["delta" if delta else "whole"] += 1
        return answer(200, (("Content-Type", "application/json"),), self.registry.body(delta, time.monotonic()))


def make() -> Handle:
    return Discovery().handle


if __name__ == "__main__":
    run(make)
    sys.exit(0)
