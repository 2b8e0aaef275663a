"""Runs the cases against a front end, one after the other."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from urllib.parse import urlsplit

from pearhill.conformance.case import MODELS_PATH, Case
from pearhill.conformance.client import ClientConnection
from pearhill.conformance.daemon import config_text, run_daemon
from pearhill.conformance.errors import ConformanceRunError
from pearhill.conformance.replica import ScriptedReplica
from pearhill.conformance.report import CaseResult, Report
from pearhill.conformance.suite import CASES
from pearhill.conformance.verdict import requests_failure, response_failure

CASE_TIMEOUT_S = 20.0
CREDENTIAL_HEADERS = ("authorization", "api-key")


class FrontEndAddress(NamedTuple):
    """The address at which the front end under test listens."""

    host: str
    port: int


async def run_case(case: Case, replica: ScriptedReplica, address: FrontEndAddress, api_key: str) -> str:
    """Run one case. Returns a description of its failure, or an empty text if the case holds.

    `api_key` is an API key for the front end, or empty.
    """
    replica.set_scripts(case.scripts)
    connection = ClientConnection(*address)
    headers = {**({"Authorization": f"Bearer {api_key}"} if api_key else {}), **case.headers}
    try:
        failure = await _exchange_failure(case, replica, connection, headers)
        if failure:
            return failure
    except TimeoutError:
        return f"no end within {CASE_TIMEOUT_S:.0f} s"
    except OSError as e:
        return f"the front cannot be reached: {e}"
    finally:
        connection.close()
        replica.end_waits()
        await asyncio.sleep(case.pause_after_s)
    return requests_failure(replica, case.expected_requests)


async def _exchange_failure(
    case: Case, replica: ScriptedReplica, connection: ClientConnection, headers: dict[str, str]
) -> str:
    def on_first_body() -> bool:
        """Let the replica continue its script. Returns whether the client disconnects at this point."""
        replica.continue_after_client()
        return case.client_disconnects

    expected = case.expected_response
    body = None if case.method == "GET" else case.request_body
    await connection.open()
    response = await connection.exchange(case.method, case.path, headers, body, CASE_TIMEOUT_S, on_first_body)
    if case.client_disconnects:
        return "" if response.status == expected.status else f"status {response.status}, not {expected.status}"
    failure = response_failure(response, expected, case.path)
    if failure:
        return failure
    if expected.connection_usable is None or expected.connection_usable == await _is_usable(connection, headers):
        return ""
    return f"the connection is {'not ' if expected.connection_usable else ''}usable"


async def _is_usable(connection: ClientConnection, headers: dict[str, str]) -> bool:
    """Returns whether the connection accepts another request, which is sent with the same credentials."""
    credentials = {name: value for name, value in headers.items() if name.lower() in CREDENTIAL_HEADERS}
    try:
        response = await connection.exchange("GET", MODELS_PATH, credentials, None, CASE_TIMEOUT_S)
    except OSError:
        return False
    return response.status in (200, 401)


async def run_cases(
    url: str,
    replica: ScriptedReplica,
    api_key: str = "",
    only: str = "",
    embedded: bool = False,
) -> Report:
    """Run the cases whose name contains `only` against the front end at `url`, whose only replica must be `replica`.

    `embedded` says that the front end runs inside an application: cases that are `standalone_only` are skipped. Raises
    ConformanceRunError if the URL is invalid, if no server listens there, or if no case has such a name.
    """
    address = _parse_url(url)
    cases = [case for case in CASES if only in case.name and not (embedded and case.standalone_only)]
    if not cases:
        raise ConformanceRunError(f"no case name contains {only!r}")
    await _check_reachable(address)
    report = Report()
    for case in cases:
        report.results.append(CaseResult(case, await run_case(case, replica, address, api_key)))
    return report


def _parse_url(url: str) -> FrontEndAddress:
    parts = urlsplit(url if "//" in url else f"http://{url}")
    if parts.scheme != "http" or not parts.hostname:
        raise ConformanceRunError(f"{url!r} is no http://HOST:PORT")
    return FrontEndAddress(parts.hostname, parts.port or 80)


async def _check_reachable(address: FrontEndAddress) -> None:
    connection = ClientConnection(*address)
    try:
        await connection.open()
        connection.close()
    except OSError as e:
        raise ConformanceRunError(f"no front at {address.host}:{address.port}: {e}") from None


async def run_against_url(url: str, listen: str, api_key: str, only: str) -> Report:
    """Test a front end that is already running, with a scripted replica that listens at `listen` (HOST:PORT).

    That replica must be the only one of the front end.
    """
    replica = ScriptedReplica()
    host, _, port = listen.rpartition(":")
    await replica.start(host.strip("[]") or "127.0.0.1", int(port))
    try:
        return await run_cases(url, replica, api_key, only)
    finally:
        await replica.close()


async def run_against_own_daemon(only: str = "") -> Report:
    """Start the daemon of this version and test it."""
    replica = ScriptedReplica()
    await replica.start()
    try:
        async with run_daemon(config_text(replica.address)) as url:
            return await run_cases(url, replica, only=only)
    finally:
        await replica.close()
