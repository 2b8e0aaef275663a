"""The scale run's service registry and its replicas, in one process.

The registry serves what `pearhill.eureka` fetches: the full list, deltas of the last minutes, and the hash code over
the full list. Response bodies are built once per version, as in Eureka's own response cache. A replica is a listening
address that answers requests like `pearhill.lab.servers`, and health checks with its load.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pearhill.http1.messages import RequestMessage, answer
from pearhill.http1.server import ServerConnection
from pearhill.lab.scale.child import CommandHandler, run
from pearhill.lab.scale.files import LOOPBACK, REGISTRY_APP
from pearhill.lab.scenario import ServerTable
from pearhill.lab.servers import StandInReplica

DELTA_RETENTION_S = 180.0  # the retention of Eureka's own deltas
DELTA_CACHE_S = 1.0  # the time for which the body of a delta is reused
MAX_REQUEST_BODY = 1 << 16
READ_BYTES = 1 << 16
REGISTRY_BACKLOG = 2048
REPLICA_BACKLOG = 1024
CELLS = 997  # number of cells to which zones are hashed
SERVER_TABLES = {
    "reader": ServerTable("reader", slots=64, queue=256, memory_tokens=400_000),
    "writer": ServerTable("writer", slots=128, queue=256, memory_tokens=400_000, write_tokens_per_s=40.0),
}

Row = dict[str, Any]  # an instance in Eureka's JSON
Command = dict[str, Any]


class InstanceStatus(StrEnum):
    """The status of a replica, with Eureka's names."""

    UP = "UP"
    DRAINING = "OUT_OF_SERVICE"


class ChangeAction(StrEnum):
    """The kind of a change in a delta, with Eureka's names."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class _Change:
    at: float
    action: ChangeAction
    row: Row


@dataclass(frozen=True, slots=True)
class _CachedBody:
    version: int
    built_at: float
    body: bytes


class Registry:
    """The instances, and their changes of the last `retention_s` seconds. Times are those of the monotonic clock."""

    def __init__(self, retention_s: float) -> None:
        self.rows: dict[str, Row] = {}
        self.changes: list[_Change] = []
        self.version = 0
        self._retention_s = retention_s
        self._cached: dict[bool, _CachedBody] = {}  # key: whether the body is that of a delta

    def put(
        self,
        instance: str,
        address: str,
        kind: str,
        zone: str,
        now: float,
        status: InstanceStatus = InstanceStatus.UP,
        started: bool = True,
    ) -> None:
        """Add or change an instance. If `started`, its start time is the current time; otherwise its start time stays.

        `now` is written to the row's metadata, so that the receiver of the row can compute the age of the change.
        """
        before = self.rows.get(instance)
        started_ms = _wall_clock_ms() if started else _started_ms(before)
        row = _row(instance, address, kind, zone, now, status, started_ms)
        self.rows[instance] = row
        self._add_change(now, ChangeAction.MODIFIED if before else ChangeAction.ADDED, row)

    def remove(self, instance: str, now: float) -> None:
        """Remove an instance."""
        self._add_change(now, ChangeAction.DELETED, self.rows.pop(instance))

    def _add_change(self, now: float, action: ChangeAction, row: Row) -> None:
        self.version += 1
        self.changes.append(_Change(now, action, row))

    def body(self, is_delta: bool, now: float) -> bytes:
        """Returns the JSON body of the delta or of the full list, with the hash code over the full list."""
        cached = self._cached.get(is_delta)
        if cached and cached.version == self.version and (not is_delta or now - cached.built_at < DELTA_CACHE_S):
            return cached.body
        self.changes = [change for change in self.changes if now - change.at <= self._retention_s]
        rows = self._delta_rows() if is_delta else list(self.rows.values())
        applications = {
            "versions__delta": str(self.version),
            "apps__hashcode": self._hash_code(),
            "application": [{"name": REGISTRY_APP, "instance": rows}] if rows else [],
        }
        body = json.dumps({"applications": applications}).encode()
        self._cached[is_delta] = _CachedBody(self.version, now, body)
        return body

    def _delta_rows(self) -> list[Row]:
        """Returns the last change of each instance."""
        last = {change.row["instanceId"]: {**change.row, "actionType": change.action} for change in self.changes}
        return list(last.values())

    def _hash_code(self) -> str:
        counts = Counter(row["status"] for row in self.rows.values())
        return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)


def _started_ms(row: Row | None) -> int:
    return int(row["leaseInfo"]["serviceUpTimestamp"]) if row else 0


def _row(instance: str, address: str, kind: str, zone: str, now: float, status: InstanceStatus, started_ms: int) -> Row:
    host, _, port = address.rpartition(":")
    return {
        "instanceId": instance,
        "hostName": host,
        "app": REGISTRY_APP,
        "ipAddr": host,
        "status": status,
        "overriddenstatus": "UNKNOWN",
        "port": {"$": int(port), "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90, "serviceUpTimestamp": started_ms},
        "metadata": {
            "kind": kind,
            "zone": zone,
            "cell": str(zlib.crc32(zone.encode()) % CELLS),
            "changed_us": str(int(now * 1e6)),
        },
        "vipAddress": REGISTRY_APP.lower(),
        "lastUpdatedTimestamp": str(_wall_clock_ms()),
        "lastDirtyTimestamp": str(_wall_clock_ms()),
    }


class Replica(StandInReplica):
    """A model server at one address. It also answers health checks, with its load."""

    async def _answer(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        if message.method != "GET":
            return await super()._answer(message, writer)
        memory_used = self.held / self.table.memory_tokens
        writer.write(answer(200, body=f"x0={memory_used:.3f},x1={self.waiting / 10:.3f}".encode()))
        return True


class Discovery:
    """The process: the registry's server, the replicas, and the commands of the parent process."""

    def __init__(self) -> None:
        self._registry = Registry(DELTA_RETENTION_S)
        self._rng = random.Random(1)
        self._counts: Counter[str] = Counter()
        self._servers: dict[str, asyncio.Server] = {}
        self._kinds: dict[str, str] = {}
        self._zones: list[str] = []
        self._replicas_created = 0
        self._commands: dict[str, Callable[[Command], Awaitable[dict[str, Any]]]] = {
            "open": self._open,
            "counts": self._report_counts,
            "names": self._list_names,
            "replace": self._replace_some,
            "drain": self._drain_some,
            "die": self._kill_some,
            "add": self._add_some,
            "turn": self._convert_some,
        }

    async def handle(self, command: Command) -> dict[str, Any]:
        """Execute one command of the parent process. Raises ValueError if the command is unknown."""
        name = command["order"]
        if name not in self._commands:
            raise ValueError(f"unknown command {name!r}")
        return await self._commands[name](command)

    async def _open(self, command: Command) -> dict[str, Any]:
        """Start the registry's server and the replicas. The fraction `readers` of the replicas is for prefill."""
        self._rng = random.Random(command["seed"])
        self._zones = command["zones"]
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=REGISTRY_BACKLOG)
        replicas = command["replicas"]
        prefill_replicas = round(replicas * command["readers"])
        for k in range(replicas):
            # Kinds are spread evenly: each zone has as many replicas of each kind as any other.
            kind = "reader" if (k * prefill_replicas) % replicas < prefill_replicas else "writer"
            zone = self._zones[k % len(self._zones)]
            await self._add(zone, kind, started=False)  # an old start time: no replica is warming up
        self._registry.changes.clear()  # the first replicas are not recent changes
        return {"address": _address_of(server)}

    async def _report_counts(self, command: Command) -> dict[str, Any]:
        return {
            "counts": dict(self._counts),
            "version": self._registry.version,
            "rows": len(self._registry.rows),
            "cpu_s": time.process_time(),
            "at": time.monotonic(),
        }

    async def _list_names(self, command: Command) -> dict[str, Any]:
        return {"names": list(self._registry.rows)}

    async def _replace_some(self, command: Command) -> dict[str, Any]:
        return {"changed": [await self._replace(name) for name in self._draw_names(command["count"])]}

    async def _drain_some(self, command: Command) -> dict[str, Any]:
        return {"changed": [self._drain(name) for name in self._draw_names(command["count"])]}

    async def _kill_some(self, command: Command) -> dict[str, Any]:
        """Kill all replicas of a zone, or a number of randomly drawn ones."""
        zone = command.get("zone")
        names = self._names_in_zone(zone) if zone else self._draw_names(command["count"])
        return {"changed": [await self._kill(name, command["listed_s"]) for name in names]}

    async def _add_some(self, command: Command) -> dict[str, Any]:
        zones = command.get("zones") or self._zones
        kind = command.get("kind") or "writer"
        return {"changed": [await self._add(self._rng.choice(zones), kind) for _ in range(command["count"])]}

    async def _convert_some(self, command: Command) -> dict[str, Any]:
        """Replace randomly drawn replicas of other kinds by replicas of the given kind."""
        kind = command["kind"]
        others = [
            name for name, other_kind in self._kinds.items() if other_kind != kind and name in self._registry.rows
        ]
        drawn = self._rng.sample(others, min(command["count"], len(others)))
        return {"changed": [await self._replace(name, kind) for name in drawn]}

    def _draw_names(self, count: int) -> list[str]:
        return self._rng.sample(list(self._registry.rows), min(count, len(self._registry.rows)))

    def _names_in_zone(self, zone: str) -> list[str]:
        return [name for name, row in self._registry.rows.items() if row["metadata"]["zone"] == zone]

    async def _add(self, zone: str, kind: str, started: bool = True) -> str:
        """Start a replica and add it to the registry. Returns its name."""
        self._replicas_created += 1
        name = f"{kind}-{self._replicas_created}"
        replica = Replica(SERVER_TABLES[kind], self._replicas_created, time.monotonic())
        server = await asyncio.start_server(replica.serve, LOOPBACK, 0, backlog=REPLICA_BACKLOG)
        self._servers[name] = server
        self._kinds[name] = kind
        self._registry.put(name, _address_of(server), kind, zone, time.monotonic(), started=started)
        return name

    async def _replace(self, name: str, kind: str = "") -> str:
        """Start another replica in the same zone, with a new name and address, then stop this one. Returns its name."""
        zone = self._registry.rows[name]["metadata"]["zone"]
        await self._add(zone, kind or self._kinds[name])
        self._stop_server(name)
        self._registry.remove(name, time.monotonic())
        return name

    def _drain(self, name: str) -> str:
        """Set the status of a replica to draining. Returns its name."""
        row = self._registry.rows[name]
        self._registry.put(
            name,
            f"{row['ipAddr']}:{row['port']['$']}",
            self._kinds[name],
            row["metadata"]["zone"],
            time.monotonic(),
            InstanceStatus.DRAINING,
            started=False,
        )
        return name

    async def _kill(self, name: str, listed_s: float) -> str:
        """Stop a replica. It stays in the registry for `listed_s`, until its lease expires. Returns its name."""
        self._stop_server(name)
        asyncio.get_running_loop().call_later(listed_s, self._expire, name)
        return name

    def _expire(self, name: str) -> None:
        if name in self._registry.rows:
            self._registry.remove(name, time.monotonic())

    def _stop_server(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server:
            server.close()
        self._kinds.pop(name, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a dispatcher to the registry."""
        connection = ServerConnection(max_body=MAX_REQUEST_BODY)
        try:
            while data := await reader.read(READ_BYTES):
                self._counts["bytes_in"] += len(data)
                for message in connection.feed(data):
                    if not isinstance(message, RequestMessage):
                        return
                    self._counts["calls"] += 1
                    response = self._response(message)
                    self._counts["bytes_out"] += len(response)
                    writer.write(response)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connection.close()
            writer.transport.abort()

    def _response(self, message: RequestMessage) -> bytes:
        path = message.path
        if message.method != "GET" or path not in ("/eureka/apps", "/eureka/apps/delta"):
            return answer(404)
        is_delta = path.endswith("/delta")
        self._counts["delta" if is_delta else "whole"] += 1
        body = self._registry.body(is_delta, time.monotonic())
        return answer(200, (("Content-Type", "application/json"),), body)


def _address_of(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def new_handler() -> CommandHandler:
    """Returns the handler of all commands. It must be called within the event loop."""
    return Discovery().handle


if __name__ == "__main__":
    run(new_handler)
    sys.exit(0)
