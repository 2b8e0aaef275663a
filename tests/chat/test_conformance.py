"""Runs the conformance suite against the daemon and against the middleware, over real sockets."""

import asyncio

import pytest

from pearhill.conformance.daemon import config_text
from pearhill.conformance.errors import ConformanceRunError
from pearhill.conformance.replica import ScriptedReplica
from pearhill.conformance.report import Report
from pearhill.conformance.runner import run_against_own_daemon, run_cases
from pearhill.conformance.suite import CASES
from tests.chat.test_asgi import ExampleApp
from tests.standins import ROOT

MIN_CASES = 250  # least number of cases that hold; a suite that has lost cases would pass without checking them


def assert_all_hold(report: Report) -> None:
    assert [f"{result.case.name}: {result.failure}" for result in report.failed] == []
    assert len(report.passed) >= MIN_CASES


def test_the_daemon_conforms():
    report = asyncio.run(run_against_own_daemon())
    assert_all_hold(report)
    page = (ROOT / "docs" / "CONFORMANCE.md").read_text()
    assert page == report.markdown(), "write it anew: pearhill conform --write docs/CONFORMANCE.md"


def test_the_middleware_conforms(tmp_path):
    async def run() -> Report:
        server = ScriptedReplica()
        await server.start()
        path = tmp_path / "chat.toml"
        path.write_text(config_text(server.address))
        try:
            program = ExampleApp(str(path))
            try:
                return await run_cases(f"http://{program.host}:{program.port}", server, embedded=True)
            finally:
                program.kill()
        finally:
            await server.close()

    assert_all_hold(asyncio.run(run()))


def test_a_run_without_a_server_or_without_cases_raises():
    """Guards against a run that passes because no case was run or because no server answered."""
    with pytest.raises(ConformanceRunError):
        asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica()))
    with pytest.raises(ConformanceRunError):
        asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica(), only="no such case"))


def test_a_server_that_is_not_a_front_end_fails_the_answer_cases():
    """Runs the suite against a replica instead of a front end: no case about answers may hold."""

    async def run() -> Report:
        server = ScriptedReplica()
        wrong_server = ScriptedReplica()
        await server.start()
        await wrong_server.start()
        wrong_server.set_scripts((CASES[-1].scripts or ((),))[:1])
        try:
            return await run_cases(f"http://{wrong_server.address}", server, only="answers/")
        finally:
            await server.close()
            await wrong_server.close()

    assert asyncio.run(run()).passed == []
