"""The deployments in deploy/sites that the regression check simulates: the program accepts their settings and serves
their request classes. Where a site gives a range, the settings are derived from its lower end."""

import json
import pathlib
import tomllib
from typing import Any

import pytest

from pearhill.routing.settings import Idempotency
from pearhill.settings import parse
from tests.driver import RouterDriver
from tests.standins import STREAM_CHUNKS, STREAM_END, Discovery, Standin, platform

SITES = sorted((pathlib.Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
EFFECT_NAMES = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def lower_end(value: Any) -> Any:
    return value[0] if isinstance(value, list) else value


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings that a dispatcher of this site receives, under the platform's names."""
    allow, rules, tier, fam = site["allow"], site["rules"], site["tier"][0], site["fam"]
    report = tier["report"]
    return {
        "allowed": {
            "max-attempts": allow["max_attempts"],
            "may-cancel": allow["cancel"],
            "probing": allow["probes"],
            "second-copies": allow["second_copies"],
            "retry-after": allow["retry_after"],
            "max-retry-after": site["clients"]["max_retry_after_ms"] * 1000,
            "most-held": 1000,
            "connect-timeout": tier["conn"]["connect_timeout_ms"] * 1000,
            "conn-idle": tier["conn"]["idle_s"] * 1_000_000,
        },
        "classes": [
            {
                "name": c["name"],
                "aim": c["aim_ms"] * 1000,
                "deadline": c["deadline_ms"] * 1000,
                "effect": EFFECT_NAMES[c["effect"]],
                "group": c.get("group", "all"),
                "worth": c["worth"],
                "window": c.get("window_ms", 5000) * 1000,
                "late-worth": c["late_worth"],
            }
            for c in site["class"]
        ],
        "discovery": {"ask": "on_request", "push": "pushed"}[site["discovery"]["mode"]],
        "extra": {
            "aim-us-per-1000-prompt-tokens": [c["aim_ms_per_k"] * 1000 for c in site["fam"]["class"]],
            "token-aim": [c["token_ms"] * 1000 for c in site["fam"]["class"]],
            "local-read": fam["writers_read"],
            "holds-allowed": fam["ahead"],
            "resume": fam["resume"],
            "release-within": fam["release_ms"] * 1000,
            "role-by-kind": fam["role"],
            "tokens-by-kind": [int(lower_end(e["memory_k"]) * 1000) for e in fam["engine"]],
        },
        "models": [kind["name"] for kind in tier["kind"]],
        "n-instances": lower_end(site["scale"]["balancers"]),
        "zone": 0,
        "zones": site["net"]["zones"],
        "over-share-worth": site["load"].get("over_share_worth", 0.1),
        "tenants": [{"name": t["name"], "quota-rps": 10 * t["share"]} for t in site.get("tenant", [])],
        "prices": {"probe": site["prices"]["probe"]},
        "report": {"columns": report["fields"], "via": {"none": "off", "probe": "on_probe"}[report["how"]]},
        "rules": {
            "cold": int(lower_end(tier["kind"][0]["cold_s"]) * 1e6),
            "cold-from": lower_end(tier["kind"][0]["cold_from"]),
            "fall": rules["fall_ms"] * 1000,
            "fall-multiple": rules["fall_multiple"],
            "drain-grace": rules["drain_grace_ms"] * 1000,
        },
        "tick": site["day"]["tick_ms"] * 1000,
    }


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_dispatcher_accepts_the_settings_of_a_site_and_serves_its_classes(path: pathlib.Path) -> None:
    site = tomllib.loads(path.read_text())
    settings = settings_of(site)
    deployment = parse(settings)
    assert deployment.class_names == tuple(c["name"] for c in site["class"])
    assert deployment.tenant_names == tuple(t["name"] for t in site.get("tenant", []))
    assert deployment.shared_discovery is (site["discovery"]["mode"] == "ask")
    assert (deployment.drain_grace, deployment.connection_idle_timeout) == (
        site["rules"]["drain_grace_ms"] * 1000,
        site["tier"][0]["conn"]["idle_s"] * 1_000_000,
    )
    server, kinds = Standin(), site["tier"][0]["kind"]
    writer = next(kind["name"] for kind, role in zip(kinds, site["fam"]["role"], strict=True) if role != "read")
    discovery = Discovery(("s-0", server.address, writer))
    answer = discovery.answer
    discovery.answer = lambda: {
        **answer(),
        "targets": [{**t, "az": site["net"]["zones"][0]} for t in answer()["targets"]],
    }
    program = platform(discovery.address, settings=settings)
    try:
        program.wait_ready()
        for n, cls in enumerate(site["class"]):
            status, _, body = program.request(
                "POST",
                "/v1/chat/completions",
                json.dumps({"messages": []}).encode(),
                {
                    "Request-Id": f"s{n}",
                    "Request-Class": cls["name"],
                    "Request-Timeout-Ms": str(cls["deadline_ms"]),
                    "Tenant": (site.get("tenant") or [{"name": ""}])[-1]["name"],
                    "Request-Info": "prompt_len=900,max_out=50",
                },
            )
            assert (status, body) == (200, b"".join(STREAM_CHUNKS) + STREAM_END)
    finally:
        for end in (program.kill, discovery.close, server.close):
            end()


def test_the_sites_differ_in_settings_that_code_could_assume_constant() -> None:
    """Two sites with equal settings would test no more than one."""
    parsed = [parse(settings_of(tomllib.loads(path.read_text()))) for path in SITES]
    assert len(parsed) == 2
    for values in (
        [d.shared_discovery for d in parsed],
        [len(d.zone_names) for d in parsed],
        [bool(d.tenant_names) for d in parsed],
        [d.router.health_checks for d in parsed],
        [d.drain_grace for d in parsed],
        [d.router.overload_window for d in parsed],
    ):
        assert values[0] != values[1]
    assert {c.idempotency for d in parsed for c in d.router.classes} == {
        Idempotency.IDEMPOTENT,
        Idempotency.KEYED,
        Idempotency.UNSAFE,
    }
    for d in parsed:
        assert RouterDriver(d.router).router.settings is d.router
