"""The Eureka client of a running daemon against a stand-in registry, and the registry's lists in unit tests."""

import json
import pathlib
import unittest
from collections import Counter
from typing import Any

import pytest

from pearhill import settings
from pearhill.eureka.registry import Registry, RegistryError
from pearhill.routing.topology import Endpoint, Phase
from tests.chat.test_front import PATH, body, operator_file, write_file
from tests.standins import SETTINGS, Program, Standin, StandinHandler

APP = "HELPDESK"


def instance(
    id: str,
    address: str = "127.0.0.1:9",
    status: str = "UP",
    action: str = "ADDED",
    **metadata: str,
) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    return {
        "instanceId": id,
        "hostName": host,
        "app": APP,
        "ipAddr": host,
        "status": status,
        "actionType": action,
        "port": {"$": int(port), "@enabled": "true"},
        "metadata": {"role": "both", "zone": "north", **metadata},
    }


def registry_response(*instances: dict[str, Any], code: str | None = None) -> dict[str, Any]:
    counts = Counter(row["status"] for row in instances)
    code = "".join(f"{s}_{counts[s]}_" for s in sorted(counts)) if code is None else code
    return {
        "applications": {
            "versions__delta": "1",
            "apps__hashcode": code,
            "application": [{"name": APP, "instance": list(instances)}] if instances else [],
        }
    }


class RegistryStandin(Standin):
    """A registry that answers with the `full_list` and `delta` of a test. `leases` holds the paths of instances."""

    def __init__(self) -> None:
        self.full_list = registry_response()
        self.delta = registry_response()
        self.leases = set[str]()
        self.down = False
        self.has_full_list = True
        super().__init__()

    def respond(self, handler: StandinHandler, body: bytes, /) -> None:
        path = handler.path.partition("?")[0]
        if self.down or (not self.has_full_list and path.endswith("/apps")):
            return handler.send_response_body(500)
        if handler.command == "GET":
            return handler.send_response_body(
                200, json.dumps(self.delta if path.endswith("/delta") else self.full_list).encode()
            )
        if handler.command == "POST":
            self.leases.add(f"{path}/{json.loads(body)['instance']['instanceId']}")
            return handler.send_response_body(204)
        has_lease = path.replace("%3A", ":") in self.leases
        if handler.command == "DELETE":
            self.leases.discard(path.replace("%3A", ":"))
        handler.send_response_body(200 if has_lease else 404)


class DaemonWithRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = Standin()
        self.eureka = RegistryStandin()
        self.addCleanup(self.replica.close)
        self.addCleanup(self.eureka.close)
        self.eureka.full_list = registry_response(instance("m1", self.replica.address))
        self.eureka.delta = registry_response(code="UP_1_")
        path = write_file(self, self.config_text(self.eureka))
        self.program = Program("--chat", path)
        self.addCleanup(self.program.kill)
        self.program.config = pathlib.Path(path)
        self.program.wait_ready()

    def config_text(self, eureka: RegistryStandin) -> str:
        return operator_file(
            [],
            f'[eureka]\naddress = "{eureka.address}"\nservers = "helpdesk"\n'
            'register_as = "pearhill"\nrenew_s = 1\nfetch_s = 1\n',
        )

    def test_replicas_of_the_registry_serve_requests_while_it_is_down(self) -> None:
        assert self.program.request("POST", PATH, body())[0] == 200
        self.eureka.down = True
        self.program.wait_line("the previous list stays in use")
        assert self.program.request("POST", PATH, body())[0] == 200

    def test_a_replica_that_is_not_up_receives_no_new_requests(self) -> None:
        self.eureka.delta = registry_response(
            instance("m1", self.replica.address, status="OUT_OF_SERVICE", action="MODIFIED")
        )
        self.eureka.wait_for("GET", "/eureka/apps/delta")
        self.program.wait_ready(503)
        assert (self.program.request("POST", PATH, body())[0], self.replica.post_count) == (503, 0)

    def test_a_delta_with_a_wrong_hash_code_causes_a_fetch_of_the_full_list(self) -> None:
        self.eureka.delta = registry_response(code="UP_2_")
        self.program.wait_line("does not match, fetching the full list")
        self.eureka.wait_for("GET", "/eureka/apps", 3)

    def test_a_delta_with_a_wrong_hash_code_is_applied_before_the_full_list_comes(self) -> None:
        self.eureka.has_full_list = False
        self.eureka.delta = registry_response(
            instance("m1", self.replica.address, status="OUT_OF_SERVICE", action="MODIFIED"), code="UP_2_"
        )
        self.program.wait_ready(503)
        assert (self.program.request("POST", PATH, body())[0], self.replica.post_count) == (503, 0)

    def test_a_reload_cancels_the_registration_and_registers_with_the_new_registry(self) -> None:
        self.eureka.wait_for("POST", "/eureka/apps/PEARHILL")
        new_registry = RegistryStandin()
        self.addCleanup(new_registry.close)
        new_registry.full_list = registry_response(instance("m2", self.replica.address))
        new_registry.delta = registry_response(code="UP_1_")
        self.program.reload(self.config_text(new_registry))
        self.eureka.wait_for("DELETE", "/eureka/apps/PEARHILL")
        new_registry.wait_for("POST", "/eureka/apps/PEARHILL")
        new_registry.wait_for("GET", "/eureka/apps")
        assert self.program.request("POST", PATH, body())[0] == 200

    def test_a_registration_is_renewed_repeated_after_a_lost_lease_and_cancelled_at_exit(self) -> None:
        self.eureka.wait_for("POST", "/eureka/apps/PEARHILL")
        self.eureka.wait_for("PUT", "/eureka/apps/PEARHILL")
        registered = json.loads(
            next(b for (m, _), b in zip(self.eureka.calls, self.eureka.bodies, strict=True) if m == "POST")
        )["instance"]
        assert (registered["status"], registered["port"]["$"]) == ("UP", self.program.port)
        self.eureka.leases.clear()  # the registry loses the lease, so that the next renewal is answered with 404
        self.eureka.wait_for("POST", "/eureka/apps/PEARHILL", 2)
        assert self.program.stop() == 0
        self.eureka.wait_for("DELETE", "/eureka/apps/PEARHILL")


class RegistryLists(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry()
        self.deployment = settings.parse(SETTINGS)

    def entries(self) -> list[Endpoint]:
        return list(self.registry.endpoints(APP, self.deployment)[0])

    def test_metadata_set_kind_zone_and_cell_and_invalid_entries_are_skipped(self) -> None:
        self.registry.replace(
            registry_response(instance("a", role="reader", zone="south", cell="4"), instance("b", kind="writer"))
        )
        assert [(e.kind, e.zone, e.cell) for e in self.entries()] == [(0, 1, 4), (1, 0, 0)]
        self.registry.replace(
            registry_response(
                instance("a", zone="nowhere"), instance("b", role="cook"), instance("c", cell="x"), instance("d")
            )
        )
        assert len(self.entries()) == 1  # the three invalid instances are skipped

    def test_deltas_are_applied_and_verified_by_the_hash_code(self) -> None:
        self.registry.replace(registry_response(instance("a"), instance("b", status="DOWN")))
        assert self.registry.hash_code == "DOWN_1_UP_1_"
        assert self.registry.apply(registry_response(instance("b", action="DELETED"), instance("c"), code="UP_2_"))
        assert not self.registry.apply(registry_response(code="UP_3_"))
        assert self.registry.apply(
            registry_response(instance("a", status="STARTING", action="MODIFIED"), code="STARTING_1_UP_1_")
        )
        assert sorted(e.phase for e in self.entries()) == [Phase.DRAINING, Phase.READY]

    def test_a_list_with_one_element_may_be_given_as_that_element(self) -> None:
        contents = registry_response(instance("a"))
        contents["applications"]["application"] = {"name": APP, "instance": instance("a")}
        self.registry.replace(contents)
        assert len(self.entries()) == 1

    def test_an_invalid_list_raises_and_leaves_the_registry_unchanged(self) -> None:
        self.registry.replace(registry_response(instance("a")))
        invalid_responses: tuple[Any, ...] = (
            None,
            [],
            {},
            {"applications": {"application": [7]}},
            {"applications": {"application": [{"instance": {}}]}},
        )
        for contents in invalid_responses:
            with self.subTest(contents=contents), pytest.raises(RegistryError):
                self.registry.replace(contents)
        assert len(self.entries()) == 1
        assert self.registry.hash_code == "UP_1_"
