"""End-to-end tests of load queries: the real program, with stand-in replicas that answer health checks in many ways.

The deployment differs from that of the other tests: it has no mixed kind, a single zone, loads that are reported only
to health checks, no cancellation at replicas, streams that can be resumed, and tenants with quotas.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.standins import SETTINGS, STREAM_CHUNKS, STREAM_END, CleanupCase, Discovery, Standin, dead_address, platform

DIFFERENT_SETTINGS: dict[str, Any] = copy.deepcopy(SETTINGS)
DIFFERENT_SETTINGS["allowed"].update(
    {"may-cancel": False, "probing": True, "max-attempts": 6, "max-retry-after": 2000000}
)
DIFFERENT_SETTINGS["classes"] = [
    {"name": "question", "aim": 1000000, "deadline": 4000000, "effect": "read_like", "worth": 3.0},
    {"name": "order", "aim": 3000000, "deadline": 15000000, "effect": "non_idempotent", "worth": 5.0},
]
DIFFERENT_SETTINGS["extra"].update(
    {"local-read": True, "release-within": 1000000, "resume": True, "role-by-kind": ["read", "write", "write"]}
)
DIFFERENT_SETTINGS.update(
    {
        "models": ["reads", "writes-a", "writes-b"],
        "n-instances": 200,
        "zones": ["north"],
        "over-share-worth": 0.1,
        "prices": {"probe": 0.0039},
        "report": {"via": "on_probe", "columns": ["active", "waiting", "x0", "x1"]},
        "tenants": [{"name": "east", "quota-rps": 9.0}, {"name": "west", "quota-rps": 0.0}],
    }
)
BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 400}]}).encode()
Responder = Callable[[Any], None]


def report(x0: object, x1: object) -> Responder:
    return lambda h: h.send_response_body(200, f"active=3,waiting=1,x0={x0},x1={x1}".encode())


def leave_unanswered(h: Any) -> None:
    h.standin.release_answers.wait(20)


def truncate_body(h: Any) -> None:
    h.send_response(200)
    h.send_header("Content-Length", "40")
    h.end_headers()
    h.wfile.write(b"x0=0.1,")
    h.close_connection = True


BAD_REPORTS: list[Responder] = [
    lambda h: h.send_response_body(404),
    lambda h: h.send_response_body(503),
    lambda h: h.send_response_body(200),
    lambda h: h.send_response_body(500, b"x0=0,x1=0"),
    report("nan", 1),
    report(-1, 2),
    report(0.5, "1,x1=9"),
    lambda h: h.send_response_body(200, b"z" * 65536),
]


class TestLoadReportsOfReplicas(CleanupCase):
    def start(self, settings: dict[str, Any] = DIFFERENT_SETTINGS, first_is_dead: bool = False) -> None:
        """Starts two prefill and two decode replicas and the program. `reports`: their answers to health checks."""
        self.servers = [Standin() for _ in range(4)]
        self.reports: list[Responder] = [report(0.1, 0)] * 4
        for n, server in enumerate(self.servers):

            def respond(h: Any, body: bytes, n: int = n) -> None:
                self.respond(n, h)

            server.respond = respond
        addresses = [s.address for s in self.servers]
        if first_is_dead:
            addresses[0] = dead_address()
        kinds = ("reads", "reads", "writes-a", "writes-b")
        targets = ((f"s-{n}", a, kind) for n, (a, kind) in enumerate(zip(addresses, kinds, strict=True)))
        self.discovery = Discovery(*targets)
        self.program = platform(self.discovery.address, settings=settings)
        for thing in (*self.servers, self.discovery):
            self.cleanup.callback(thing.close)
        self.cleanup.callback(self.program.kill)
        self.program.wait_ready()

    def respond(self, n: int, h: Any) -> None:
        if h.path == "/status/load":
            self.reports[n](h)
        elif h.command == "DELETE":
            h.send_response_body(204)
        elif n < 2:
            h.send_response_body(202, b'{"cached_tokens":0}')
        else:
            h.chunks(*STREAM_CHUNKS, STREAM_END)

    def post(self, id: str, request_class: str = "order", **extra_headers: str) -> int:
        headers = {
            "Request-Id": id,
            "Request-Class": request_class,
            "Request-Timeout-Ms": "4000",
            "Tenant": "east",
            "Affinity-Key": f"{hash(id) & 0xffff:x}",
            "Request-Info": "prompt_len=3000,max_out=100",
            **extra_headers,
        }
        status, _, body = self.program.request("POST", "/v1/chat/completions", BODY, headers)
        assert status != 200 or body == b"".join(STREAM_CHUNKS) + STREAM_END
        return status

    def runs(self) -> list[int]:
        return [s.post_count for s in self.servers]

    def test_a_choice_follows_the_reports_and_costs_two_health_checks(self) -> None:
        self.start()
        self.reports = [report(0.1, 60), report(0.1, 0.4), report(0.3, 0), report(0.8, 0)]
        assert [self.post(f"a{n}") for n in range(6)] == [200] * 6
        assert self.runs() == [0, 6, 6, 0]
        assert self.program.counters()["probes"]["answered"] <= 6 * 4

    @pytest.mark.parametrize(
        "answers",
        [
            pytest.param(BAD_REPORTS, id="bad reports"),  # the other cases eject replicas
            pytest.param([truncate_body], id="cut"),
            pytest.param([lambda h: h.connection.close()], id="closed"),
            pytest.param([leave_unanswered], id="never"),
        ],
    )
    def test_every_request_is_answered_once_whatever_a_health_check_returns(self, answers: list[Responder]) -> None:
        retries: tuple[dict[str, str], ...] = ({}, {"Client-Retry": "again"}, {"Client-Retry": "perhaps"})
        self.start()
        for n, answer in enumerate(answers):
            self.reports = [answer] * 4
            before = sum(self.runs())
            for k, retry in enumerate(retries):
                assert self.post(f"{n}-{k}", **retry) == 200, n
            assert sum(self.runs()) - before == 6, n  # one prefill and one answer for each request, and no repeats
            assert ("GET", "/status/load") in self.servers[0].calls
        counters = self.program.counters()
        assert (counters["faults"], counters["failed"], counters["refused"]) == (0, 0, 0)

    def test_a_dead_replica_is_detected_by_a_health_check_and_costs_no_attempt(self) -> None:
        self.start(first_is_dead=True)
        assert [self.post(f"d{n}") for n in range(8)] == [200] * 8
        counters = self.program.counters()
        assert self.runs() == [0, 8] + self.runs()[2:]
        assert (counters["sent"], counters["probes"]["unreachable"] >= 1) == (16, True)

    def test_an_unknown_tenant_and_one_without_a_quota_are_served(self) -> None:
        self.start()
        assert [self.post(f"m{n}", Tenant=name) for n, name in enumerate(("east", "west", "nobody"))] == [200] * 3

    @pytest.mark.parametrize(
        "changes",
        [
            pytest.param({"n-instances": 3}, id="few dispatchers"),
            pytest.param({"report": {"via": "off", "columns": []}}, id="no reports"),
            pytest.param({"allowed": {**DIFFERENT_SETTINGS["allowed"], "probing": False}}, id="not allowed"),
        ],
    )
    def test_with_few_dispatchers_or_without_reports_no_health_check_is_sent(self, changes: dict[str, Any]) -> None:
        self.start({**DIFFERENT_SETTINGS, **changes})
        assert [self.post(f"f{n}") for n in range(3)] == [200] * 3
        assert not [path for s in self.servers for _, path in s.calls if path == "/status/load"]
