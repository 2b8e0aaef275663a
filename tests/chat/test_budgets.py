"""Budgets through the real daemon: refusals, headers, streams past their reservation, kills, reloads and the bill."""

import csv
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from pearhill.bill.statement import read_folder, sum_up
from pearhill.budgets.periods import month_name, periods
from pearhill.chat.budget_answers import format_duration
from pearhill.chat.setup import load
from pearhill.config import typed
from tests.chat.test_front import PATH, ChatCase, body, operator_file, write_file
from tests.chat.test_keys import A, B, tenants
from tests.standins import LAST, ROOT, TOKENS, Program

LONG = TOKENS[0] * 30
USED = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":9}}\n\n' b"data: [DONE]\n\n"
)


def table(**limits: object) -> str:
    rows = "".join(f"{name} = {json.dumps(value)}\n" for name, value in limits.items())
    return f"\n[budgets]\n{rows}"


def tenant(name: str, **limits: object) -> str:
    return f"\n[[budgets.tenant]]\nname = {json.dumps(name)}\nweight = 0\n" + "".join(
        f"{key} = {json.dumps(value)}\n" for key, value in limits.items()
    )


class Budgeted(ChatCase):
    def begin(self, *budgets: str, folder: bool = False, count: int = 1, **top: object) -> None:
        if folder:
            made = tempfile.TemporaryDirectory()
            self.addCleanup(made.cleanup)
            self.folder = pathlib.Path(made.name) / "budgets"
            top["folder"] = str(self.folder)
        extra = tenants(north=[A], south=[B]) + table(**top) + "".join(budgets)
        self.server, *self.others = self.start(count, extra)

    def call(self, sent: bytes, key: str = A, **headers: str):
        return self.ask(sent, api_key=key, **headers)

    def usage(self, key: str = A) -> dict:
        status, _, got = self.program.ask("GET", "/v1/usage", headers={"api-key": key})
        self.assertEqual(status, 200)
        return json.loads(got)

    def again(self) -> None:
        """The same file, another process."""
        config = self.program.config
        self.program = Program("--chat", str(config))
        self.addCleanup(self.program.kill)
        self.program.config = config


class Refusals(Budgeted):
    def test_beyond_its_rate_a_tenant_is_told_when_to_come_back_and_nothing_is_sent(self):
        self.begin(tenant("north", tokens_per_min=600, burst_tokens=900))
        status, headers, _ = self.call(body(max_tokens=800))
        self.assertEqual(status, 200)
        self.assertEqual((headers["x-ratelimit-limit-tokens"], headers["x-ratelimit-remaining-tokens"]), ("900", "96"))
        self.assertRegex(headers["x-ratelimit-reset-tokens"], r"^(1m)?\d+(\.\d+)?s$")
        answer = self.call(body("booking", max_tokens=895), Idempotency_Key="k")
        self.assertEqual((answer[0], self.error(answer)["code"]), (429, "rate_limit_exceeded"))
        self.assertTrue(0 < float(answer[1]["retry-after"]) <= 1.2, answer[1])
        self.assertEqual((answer[1]["x-should-retry"], self.server.runs), ("true", 1))
        self.assertEqual(self.call(body(max_tokens=800), B)[0], 200)  # another's spending is nothing to south
        counters = self.program.counters()
        self.assertEqual((counters["refused"], counters["taken"], counters["faults"]), (1, 3, 0))
        self.assertEqual(self.usage()["tokens"]["this_month"], 11)

    def test_a_refused_booking_runs_once_when_it_comes_again(self):
        self.begin(tenant("north", tokens_per_min=60_000, burst_tokens=805))
        self.assertEqual(self.call(body("booking", max_tokens=700))[0], 200)
        answers = []
        while not answers or answers[-1][0] == 429:
            answers.append(self.call(body("booking", max_tokens=795), Idempotency_Key="k"))
        self.assertEqual((answers[-1][0], self.server.runs), (200, 2))
        self.assertEqual(self.call(body("booking", max_tokens=795), Idempotency_Key="k")[0], 200)
        self.assertEqual(self.server.runs, 2)  # a repeat costs nothing and runs nothing
        self.assertEqual(self.usage()["tokens"]["this_month"], 22)

    def test_a_clients_own_guess_is_reserved(self):
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=100, debt_tokens=800))
        self.assertEqual(self.call(body())[0], 200)  # as far as the debt allows, the limit is not reserved
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=100, debt_tokens=700))
        self.assertEqual(self.call(body())[0], 429)
        self.assertEqual(self.call(body(max_tokens=700), X_Expected_Answer_Tokens="50")[0], 200)

    def test_quotas_and_open_requests(self):
        self.begin(tenant("north", day_tokens=850), tenant("south", open_requests=1))
        self.assertEqual(self.call(body(max_tokens=800))[0], 200)
        answer = self.call(body(max_tokens=8_400))
        self.assertEqual(
            (answer[0], self.error(answer)["code"], answer[1]["x-should-retry"]), (429, "insufficient_quota", "false")
        )
        self.assertEqual(self.usage()["tokens"]["day_limit"], 850)
        self.server.respond = lambda h, b: self.server.go.wait(20)
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(), {"api-key": B})
        self.server.wait_for("POST", count=2)
        answer = self.call(body(), B)
        self.assertEqual(
            (answer[0], self.error(answer)["code"], answer[1]["x-ratelimit-remaining-requests"]),
            (429, "rate_limit_exceeded", "0"),
        )
        connection.close()  # it leaves, and makes room
        self.program.wait_line("side=server .* reason=called-off")
        del self.server.respond
        self.assertEqual(self.call(body(), B)[0], 200)

    def test_without_budgets_there_is_no_usage(self):
        (self.server,) = self.start(extra=tenants(north=[A]))
        self.assertEqual(self.program.ask("GET", "/v1/usage", headers={"api-key": A})[0], 404)
        self.assertNotIn("x-ratelimit-limit-tokens", self.call(body())[1])


class Streams(Budgeted):
    def test_an_answer_three_times_as_long_as_reserved_is_served_whole_and_owed(self):
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=1_000, debt_tokens=1_000))
        self.server.respond = lambda h, b: h.chunks(LONG, USED % 30)
        for _ in range(8):  # what its answers have been
            self.assertEqual(self.call(body(stream=True, max_tokens=30))[0], 200)
        left = self.usage()["tokens"]["remaining"]
        self.server.respond = lambda h, b: h.chunks(LONG * 30, USED % 900)
        status, _, got = self.call(body(stream=True, max_tokens=1_000))
        self.assertEqual((status, got.endswith(b"data: [DONE]\n\n")), (200, True))
        self.assertLess(left, 900)
        self.assertIn(self.usage()["tokens"]["debt"], range(909 - left - 60, 909 - left + 1))  # it is being paid off
        answer = self.call(body("booking", max_tokens=1))
        self.assertEqual((answer[0], "debt" in self.error(answer)["message"]), (429, True))
        self.assertGreater(float(answer[1]["retry-after"]), 100)

    def test_what_was_seen_of_a_broken_or_abandoned_answer_is_charged(self):
        self.begin(tenant("north", day_tokens=10**6))
        self.server.respond = lambda h, b: h.chunks(TOKENS[0] * 7)
        self.assertEqual(self.call(body("booking"))[0], 502)
        first = self.usage()["tokens"]["today"]
        prompt = first - 7
        self.assertTrue(0 < prompt < 20, first)
        self.server.respond = lambda h, b: h.plain(500)
        self.assertEqual(self.call(body("booking"))[0], 500)  # nothing was seen of it
        self.assertEqual(self.usage()["tokens"]["today"], first)
        self.server.respond = lambda h, b: h.plain(400, b'{"error": {"message": "no"}}')
        self.assertEqual(self.call(body("booking"))[0], 400)
        self.assertEqual(self.usage()["tokens"]["today"], first)

        def slow(handler, sent):
            handler.chunks(TOKENS[0], last=False)
            self.server.go.wait(20)

        self.server.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body(stream=True), {"api-key": A})
        connection.getresponse().read(len(TOKENS[0]))
        connection.close()
        self.program.wait_line("side=server .* reason=called-off")
        self.assertEqual((self.usage()["tokens"]["today"], self.usage()["requests"]["open"]), (first + prompt + 1, 0))

    def test_a_booking_whose_client_goes_is_charged_with_its_outcome(self):
        self.begin(tenant("north", day_tokens=10**6))

        def slow(handler, sent):
            handler.chunks(TOKENS[0], last=False)
            self.server.go.wait(20)
            handler.more(TOKENS[1] + LAST)
            handler.wfile.write(b"0\r\n\r\n")

        self.server.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking", stream=True), {"api-key": A})
        connection.getresponse().read(len(TOKENS[0]))
        connection.close()
        self.program.wait_line("side=client .* reason=client-closed")
        self.assertEqual(self.usage()["requests"]["open"], 1)
        self.server.go.set()
        self.program.wait_line("outcome request=.* state=answered")
        told = self.usage()
        self.assertEqual((told["tokens"]["today"], told["requests"]["open"], self.server.runs), (11, 0, 1))

    def test_retries_are_one_charge_and_servers_get_the_limit_that_was_reserved(self):
        self.begin(tenant("north", day_tokens=10**6), count=2)
        answers = iter([lambda h: h.plain(500), lambda h: h.chunks(*TOKENS, LAST)])
        servers = (self.server, *self.others)
        for server in servers:
            server.respond = lambda h, b: h.plain(204) if h.command == "DELETE" else next(answers)(h)
        self.assertEqual(self.call(body())[0], 200)
        self.assertEqual((sum(s.runs for s in servers), self.usage()["tokens"]["today"]), (2, 11))
        for server in servers:
            self.assertEqual(json.loads(server.bodies[0])["max_completion_tokens"], 800)


class Lasting(Budgeted):
    def test_after_a_kill_every_synced_charge_counts_once_and_reservations_are_let_go(self):
        self.begin(tenant("north", day_tokens=10**6, tokens_per_min=1, burst_tokens=10_000), folder=True)
        for _ in range(5):
            self.call(body())
        self.server.respond = lambda h, b: self.server.go.wait(20)
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(), {"api-key": A})
        self.server.wait_for("POST", count=6)
        self.assertEqual(self.usage()["requests"]["open"], 1)
        while len(read_folder(self.folder)) < 5:  # a batch is synced in its own time
            pass
        self.program.process.send_signal(signal.SIGKILL)
        self.program.stop()
        with open(max(self.folder.glob("*.log")), "ab") as torn:
            torn.write(b"half a frame")
        self.again()
        self.program.wait_line("budgets: 5 charges replayed behind snapshot 0, 12 torn bytes cut")
        told = self.usage()
        self.assertEqual((told["tokens"]["today"], told["requests"]["open"]), (55, 0))
        self.assertTrue(9_945 <= told["tokens"]["remaining"] <= 9_950)
        del self.server.respond
        self.call(body())
        self.assertEqual(self.program.stop(), 0)
        self.again()  # an orderly end leaves a snapshot
        self.program.wait_line("budgets: 0 charges replayed behind snapshot 6, 0 torn bytes cut")
        self.assertEqual(self.usage()["tokens"]["today"], 66)

    def test_damage_ends_the_start_with_a_line_that_names_it(self):
        self.begin(tenant("north", day_tokens=10**6), folder=True)
        self.call(body())
        self.program.stop()
        for path in self.folder.iterdir():
            path.write_bytes(path.read_bytes()[:-1] + b"?" if path.suffix == ".state" else b"")
        done = subprocess.run(
            [sys.executable, "-m", "pearhill", "--chat", str(self.program.config)],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 1)
        self.assertIn(f"pearhill: budgets.folder: {self.folder}: no snapshot is whole", done.stderr)

    def test_a_disk_that_cannot_be_written_refuses_or_serves_uncounted(self):
        """The folder goes away under the running process: the next segment cannot be made."""
        import shutil

        self.begin(tenant("north", day_tokens=10**6), folder=True, uncounted_tokens=12)
        shutil.rmtree(self.folder)
        self.assertEqual(self.call(body())[0], 200)
        self.program.wait_line("budgets: the journal cannot be written: .*; 12 tokens are served uncounted")
        statuses = [self.call(body())[0] for _ in range(4)]
        self.assertEqual(statuses, [200, 200, 429, 429])
        self.folder.mkdir()
        self.program.wait_line("budgets: the journal works again")
        self.assertEqual(self.call(body())[0], 200)
        self.assertEqual(self.program.stop(), 0)
        self.assertEqual(sum(c.milli for c in read_folder(self.folder) if c.outcome == "answered"), 4 * 11_000)

    def test_a_reload_changes_limits_and_keeps_what_is_used(self):
        self.begin(tenant("north", day_tokens=10**6))
        self.call(body())
        text = self.program.config.read_text()
        self.program.reload(text.replace("day_tokens = 1000000", "day_tokens = 20"))
        self.assertEqual(self.call(body())[0], 429)
        self.program.reload(
            text.replace("day_tokens = 1000000", "day_tokens = -1"),
            r"reload: the old configuration stays: .*budgets.tenant\[0\].day_tokens: found -1",
        )
        self.program.reload(text)
        self.assertEqual(self.call(body())[0], 200)
        self.assertEqual(self.usage()["tokens"]["today"], 22)


class Bills(Budgeted):
    def test_totals_equal_the_journal_to_the_token(self):
        import pyarrow.parquet

        self.begin(tenant("north", tokens_per_min=1, burst_tokens=830), folder=True, cached_price=0.5)
        for key, sent in ((A, body()), (A, body(max_tokens=8_000)), (B, body()), (B, body())):
            self.call(sent, key)
        self.server.respond = lambda h, b: h.plain(500)
        self.call(body("booking"), B)
        self.program.stop()
        charges = read_folder(self.folder)
        period = month_name(periods(charges[0].wall)[1])
        done = subprocess.run(
            [
                sys.executable,
                "-c",
                "from pearhill.cli.main import main; main()",
                "bill",
                str(self.folder),
                "--period",
                period,
                "--out",
                str(self.folder / "out"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        out = self.folder / "out" / f"bill-{period}"
        rows = pyarrow.parquet.read_table(out.with_suffix(".parquet")).to_pylist()
        self.assertEqual(sum(row["milli"] for row in rows), sum(c.milli for c in charges))
        told = {row["tenant"]: row for row in csv.DictReader(out.with_suffix(".csv").open())}
        self.assertEqual(
            {k: told["north"][k] for k in ("requests", "prompt", "cached", "answer", "refused", "milli")},
            {"requests": "1", "prompt": "9", "cached": "4", "answer": "2", "refused": "1", "milli": "9000"},
        )
        self.assertEqual((told["south"]["requests"], told["south"]["failed"]), ("3", "1"))
        for name in ("requests", "prompt", "cached", "answer", "refused", "failed", "debt", "milli"):
            self.assertEqual(int(told["total"][name]), int(told["north"][name]) + int(told["south"][name]))
        page = out.with_suffix(".html").read_text()
        self.assertIn("<td>north</td>", page)
        self.assertIn("9.000", page)
        bill = sum_up(charges, period, "south")
        self.assertEqual((len(bill.lines), bill.total.requests), (1, 3))
        self.assertEqual(sum_up(charges, "2000-01").lines, [])

    def test_what_cannot_be_billed_is_one_line(self):
        with tempfile.TemporaryDirectory() as folder:
            for arguments, why in (
                ((folder, "--period", "2026-13"), "is no month"),
                ((f"{folder}/none", "--period", "2026-12"), "is no folder"),
            ):
                done = subprocess.run(
                    [sys.executable, "-c", "from pearhill.cli.main import main; main()", "bill", *arguments],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                )
                self.assertEqual((done.returncode, done.stderr.count("\n"), why in done.stderr), (2, 1, True))

    def test_names_are_escaped_on_the_page(self):
        from pearhill.bill.files import html
        from pearhill.budgets.charges import Charge

        page = html(
            sum_up([Charge(0, 0, "", "<b>&", "", "", "", "", "answered", 1, 0, 1, 2000, False, 0, 0)], "1970-01")
        )
        self.assertIn("&lt;b&gt;&amp;", page)


class Files(unittest.TestCase):
    def test_the_file_in_deploy_is_good_and_can_be_named(self):
        text = operator_file(["127.0.0.1:1"]).replace("[chat]\n", "[chat]\nbudgets_file = 'deploy/budgets.toml'\n")
        made = load(write_file(self, text)).accounting
        self.assertEqual(
            (made.plan.tenants["lycee-tiznit"].account, made.plan.prices.cached), ("delegation-tiznit", 100)
        )
        from pearhill.chat.file import BudgetsFile, BudgetsTable, BudgetTable

        typed.load(str(ROOT / "deploy" / "budgets.toml"), BudgetsFile)
        shown = (ROOT / "deploy" / "budgets.toml").read_text()
        for name in (*BudgetsTable.__struct_fields__, *BudgetTable.__struct_fields__):
            if name not in ("key_day_tokens", "key_month_tokens"):
                self.assertRegex(shown, rf"(?m)^(# )?{name} = |\[+budgets\.{name}\]", name)

    def test_the_settings_tenants_have_their_quota_as_their_weight(self):
        text = operator_file(
            ["127.0.0.1:1"],
            table() + tenant("north", day_tokens=5),
            tenants=[{"name": "north", "quota-rps": 5.0}, {"name": "south", "quota-rps": 3.0}],
        )
        plan = load(write_file(self, text)).accounting.plan
        self.assertEqual((plan.tenants["north"].weight, plan.tenants["south"].weight), (0, 3.0))

    def test_durations(self):
        for micros, text in (
            (0, "0ms"),
            (1, "1ms"),
            (12_000, "12ms"),
            (1_500_000, "1.5s"),
            (60_000_000, "1m0s"),
            (361_250_000, "6m1.25s"),
        ):
            self.assertEqual(format_duration(micros), text)
