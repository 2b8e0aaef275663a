"""`pearhill fleet`: what many doors tell, of dispatchers and of aggregators, summed up."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from pearhill.load_reports.evenness import evenness

MAX_ANSWER_BYTES = 4 << 20
MAX_CONCURRENT_QUERIES = 32


def query_status(address: str, timeout_s: float) -> dict[str, Any] | str:
    """One door's answer, or why there is none."""
    try:
        with urllib.request.urlopen(f"http://{address}/ops/fleet", timeout=timeout_s) as answer:
            told = json.loads(answer.read(MAX_ANSWER_BYTES))
    except urllib.error.HTTPError as e:
        return f"answers {e.code}: it does not talk" if e.code == 404 else f"answers {e.code}"
    except (OSError, ValueError) as e:
        return str(getattr(e, "reason", e)) or type(e).__name__
    if not isinstance(told, dict):
        return "answers something else"
    aggregator = isinstance(told.get("aggregator"), str) and isinstance(told.get("peers"), dict)
    good = isinstance(told.get("engines"), list) and isinstance(told.get("members"), dict)
    return told if good or aggregator else "answers something else"


def age_text(age_s: float | None) -> str:
    return "never heard" if age_s is None else f"{age_s:.1f} s old"


def sum_up(answers: Iterable[tuple[str, dict[str, Any] | str]]) -> dict[str, Any]:
    """Every dispatcher's own work, added up by engine; nobody's word of others counts, so nothing counts twice."""
    dispatchers, aggregators, silent, engines = {}, {}, {}, dict[str, dict[str, Any]]()
    for door, told in sorted(answers, key=lambda pair: pair[0]):
        if isinstance(told, str):
            silent[door] = told
            continue
        if "aggregator" in told:
            aggregators[told["aggregator"]] = {
                "door": door,
                "members": told["members"],
                "heard": told["heard"],
                "count": told["counted"],
                "peers": {name: peer["age_s"] for name, peer in told["peers"].items()},
            }
            continue
        there, reports = sum(m["state"] != "dead" for m in told["members"].values()), told.get("reports")
        dispatchers[told["name"]] = {
            "door": door,
            "count": told["count"],
            "there": there,
            "source": told.get("source", "talk"),
            "reports": reports and {key: reports[key] for key in ("aggregator", "age_s", "heard")},
        }
        for e in told["engines"]:
            row = engines.setdefault(e["address"], {"waiting": 0, "load": 0, "dispatchers": 0, "avoided_by": 0})
            row["waiting"] += e["mine"]["waiting"]
            row["load"] += e["mine"]["load"]
            row["dispatchers"] += e["mine"]["load"] > 0
            row["avoided_by"] += e["avoided"]
    even = evenness({name: row["load"] for name, row in engines.items()})
    return {
        "dispatchers": dispatchers,
        "aggregators": aggregators,
        "silent": silent,
        "engines": dict(sorted(engines.items())),
        "evenness": {"peak_over_mean": round(even.peak, 3), "gini": round(even.gini, 3), "idle": list(even.idle)},
    }


def fleet_status(addresses: list[str], timeout_s: float) -> dict[str, Any]:
    with ThreadPoolExecutor(min(MAX_CONCURRENT_QUERIES, max(1, len(addresses)))) as pool:
        return sum_up(zip(addresses, pool.map(lambda door: query_status(door, timeout_s), addresses), strict=True))
