"""Runs the conformance suite against the daemon and against the middleware, over real sockets."""

import asyncio

import pytest

from pearhill.conformance.daemon import front_file
from pearhill.conformance.errors import ConformanceRunError
from pearhill.conformance.replica import ScriptedReplica
from pearhill.conformance.report import Report
from pearhill.conformance.runner import conform_own, run_cases
from pearhill.conformance.suite import CASES
from tests.chat.test_asgi import Example
from tests.standins import ROOT

MIN_CASES = 250  # least number of cases that hold; a suite that has lost cases would pass without checking them


def assert_holds(report: Report) -> None:
    assert [f"{result.case.name}: {result.failure}" for result in report.failed] == []
    assert len(report.held) >= MIN_CASES


def test_the_daemon():
    report = asyncio.run(conform_own())
    assert_holds(report)
    page = (ROOT / "docs" / "CONFORMANCE.md").read_text()
    assert page == report.markdown(), "write it anew: pearhill conform --write docs/CONFORMANCE.md"


def test_the_middleware(tmp_path):
    async def run() -> Report:
        server = ScriptedReplica()
        await server.start()
        path = tmp_path / "chat.toml"
        path.write_text(front_file(server.address))
        try:
            program = Example(str(path))
            try:
                return await run_cases(f"http://{program.host}:{program.port}", server, embedded=True)
            finally:
                program.kill()
        finally:
            await server.close()

    assert_holds(asyncio.run(run()))


def test_a_run_without_a_front_or_without_cases_is_an_error():
    """Guards against a run that passes because no case was run or because no server answered."""
    with pytest.raises(ConformanceRunError):
        asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica()))
    with pytest.raises(ConformanceRunError):
        asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica(), only="no such case"))


def test_a_front_that_does_wrong_is_found_out():
    """Runs the suite against a replica instead of a front end: no case about answers may hold."""

    async def run() -> Report:
        server = ScriptedReplica()
        other = ScriptedReplica()
        await server.start()
        await other.start()
        other.load((CASES[-1].scripts or ((),))[:1])
        try:
            return await run_cases(f"http://{other.address}", server, only="answers/")
        finally:
            await server.close()
            await other.close()

    assert asyncio.run(run()).held == []
