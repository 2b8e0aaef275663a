"""The conformance suite against the daemon and against the middleware, over real sockets."""

import asyncio
import unittest

from pearhill.conformance.daemon import front_file
from pearhill.conformance.errors import ConformanceRunError
from pearhill.conformance.replica import ScriptedReplica
from pearhill.conformance.report import Report
from pearhill.conformance.runner import conform_own, run_cases
from pearhill.conformance.suite import CASES
from tests.chat.test_asgi import Example
from tests.chat.test_front import write_file
from tests.standins import ROOT


class Conformance(unittest.TestCase):
    def holds(self, report: Report, least: int) -> None:
        self.assertEqual([f"{r.case.name}: {r.failure}" for r in report.failed], [])
        self.assertGreaterEqual(len(report.held), least)

    def test_the_daemon(self):
        report = asyncio.run(conform_own())
        self.holds(report, 250)
        self.assertEqual(
            (ROOT / "docs" / "CONFORMANCE.md").read_text(),
            report.markdown(),
            "write it anew: pearhill conform --write docs/CONFORMANCE.md",
        )

    def test_the_middleware(self):
        async def run() -> Report:
            server = ScriptedReplica()
            await server.start()
            try:
                program = Example(write_file(self, front_file(server.address)))
                self.addCleanup(program.kill)
                return await run_cases(f"http://{program.host}:{program.port}", server, embedded=True)
            finally:
                await server.close()

        self.holds(asyncio.run(run()), 250)

    def test_a_suite_that_finds_nothing_says_so(self):
        """Danger: a runner that runs no case, or a front that is not there, would pass."""
        with self.assertRaises(ConformanceRunError):
            asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica()))
        with self.assertRaises(ConformanceRunError):
            asyncio.run(run_cases("http://127.0.0.1:1", ScriptedReplica(), only="no such case"))

    def test_a_front_that_does_wrong_is_found_out(self):
        """The same suite against a server that is no front: what it answers itself must not hold."""

        async def run() -> Report:
            server, other = ScriptedReplica(), ScriptedReplica()
            await server.start()
            await other.start()
            other.load((CASES[-1].scripts or ((),))[:1])
            try:
                return await run_cases(f"http://{other.address}", server, only="answers/")
            finally:
                await server.close()
                await other.close()

        report = asyncio.run(run())
        self.assertEqual(report.held, [])
