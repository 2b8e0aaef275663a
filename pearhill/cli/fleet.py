"""`pearhill fleet`: queries the admin endpoints of dispatchers and aggregators, and sums up their status."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from pearhill.load_reports.evenness import evenness

MAX_RESPONSE_BYTES = 4 << 20
MAX_CONCURRENT_QUERIES = 32

Status = dict[str, Any]  # the response to GET /ops/fleet


def fleet_status(addresses: list[str], timeout_s: float) -> dict[str, Any]:
    """Query all addresses concurrently, with a timeout in seconds for each, and return the sum of their responses."""
    with ThreadPoolExecutor(min(MAX_CONCURRENT_QUERIES, max(1, len(addresses)))) as pool:
        responses = pool.map(lambda address: query_status(address, timeout_s), addresses)
        return sum_up(zip(addresses, responses, strict=True))


def query_status(address: str, timeout_s: float) -> Status | str:
    """Returns the status that one address responds with, or as a string the reason why it has none.

    Programs read the reasons from the output of `pearhill fleet --json`.
    """
    try:
        with urllib.request.urlopen(f"http://{address}/ops/fleet", timeout=timeout_s) as response:
            status = json.loads(response.read(MAX_RESPONSE_BYTES))
    except urllib.error.HTTPError as e:
        return f"answers {e.code}: it does not talk" if e.code == 404 else f"answers {e.code}"
    except (OSError, ValueError) as e:
        return str(getattr(e, "reason", e)) or type(e).__name__
    return status if _is_status(status) else "answers something else"


def _is_status(status: object) -> bool:
    """Whether the value has the keys of a dispatcher's or an aggregator's status that are summed up."""
    if not isinstance(status, dict):
        return False
    is_aggregator = isinstance(status.get("aggregator"), str) and isinstance(status.get("peers"), dict)
    is_dispatcher = isinstance(status.get("engines"), list) and isinstance(status.get("members"), dict)
    return is_dispatcher or is_aggregator


def sum_up(responses: Iterable[tuple[str, Status | str]]) -> dict[str, Any]:
    """Sum the dispatchers' own load by replica.

    The load that dispatchers report of each other is left out, because it would count twice. Programs read the keys
    from the output of `pearhill fleet --json`.
    """
    dispatchers: dict[str, Any] = {}
    aggregators: dict[str, Any] = {}
    unreachable: dict[str, str] = {}
    replicas: dict[str, dict[str, int]] = {}
    for address, status in sorted(responses, key=lambda pair: pair[0]):
        if isinstance(status, str):
            unreachable[address] = status
        elif "aggregator" in status:
            aggregators[status["aggregator"]] = _aggregator_row(address, status)
        else:
            dispatchers[status["name"]] = _dispatcher_row(address, status)
            _add_own_load(replicas, status["engines"])
    even = evenness({name: row["load"] for name, row in replicas.items()})
    return {
        "dispatchers": dispatchers,
        "aggregators": aggregators,
        "silent": unreachable,
        "engines": dict(sorted(replicas.items())),
        "evenness": {"peak_over_mean": round(even.peak, 3), "gini": round(even.gini, 3), "idle": list(even.idle)},
    }


def _aggregator_row(address: str, status: Status) -> dict[str, Any]:
    return {
        "door": address,
        "members": status["members"],
        "heard": status["heard"],
        "count": status["counted"],
        "peers": {name: peer["age_s"] for name, peer in status["peers"].items()},
    }


def _dispatcher_row(address: str, status: Status) -> dict[str, Any]:
    reports = status.get("reports")
    return {
        "door": address,
        "count": status["count"],
        "there": sum(member["state"] != "dead" for member in status["members"].values()),
        "source": status.get("source", "talk"),
        "reports": reports and {key: reports[key] for key in ("aggregator", "age_s", "heard")},
    }


def _add_own_load(replicas: dict[str, dict[str, int]], reported: list[dict[str, Any]]) -> None:
    for replica in reported:
        row = replicas.setdefault(replica["address"], {"waiting": 0, "load": 0, "dispatchers": 0, "avoided_by": 0})
        own = replica["mine"]
        row["waiting"] += own["waiting"]
        row["load"] += own["load"]
        row["dispatchers"] += own["load"] > 0
        row["avoided_by"] += replica["avoided"]


def status_lines(status: dict[str, Any]) -> Iterator[str]:
    """Formats the sum as lines for the terminal: replicas, evenness, dispatchers, aggregators."""
    yield f"{'replica':24} {'waiting':>10} {'under way':>10} {'dispatchers':>11} {'avoided by':>10}"
    for name, row in status["engines"].items():
        yield f"{name:24} {row['waiting']:>10} {row['load']:>10} {row['dispatchers']:>11} {row['avoided_by']:>10}"
    even = status["evenness"]
    yield f"peak over mean {even['peak_over_mean']}, gini {even['gini']}, idle: {', '.join(even['idle']) or 'none'}"
    for name, row in status["dispatchers"].items():
        yield _dispatcher_line(name, row)
    for name, row in status["aggregators"].items():
        peers = ", ".join(f"{peer} {age_text(age_s)}" for peer, age_s in row["peers"].items())
        yield (
            f"{name:24} aggregator: counts {row['count']} dispatchers, hears {row['heard']}, {row['members']} report "
            f"to it; {peers or 'no other is named'}"
        )


def _dispatcher_line(name: str, row: dict[str, Any]) -> str:
    line = (
        f"{name:24} counts {row['count']} dispatchers, goes by {row['source'] or 'nobody'}; the talk hears "
        f"{row['there']} others"
    )
    if reports := row["reports"]:
        line += f"; sums of {reports['aggregator']}, {age_text(reports['age_s'])}, hold {reports['heard']}"
    return line


def age_text(age_s: float | None) -> str:
    """Formats the age in seconds of what was received last; None means that nothing was received."""
    return "never heard" if age_s is None else f"{age_s:.1f} s old"
