"""Budgets in the real daemon: rejections, headers, answers beyond their reservation, kills, reloads and the bill."""

import csv
import json
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile

import pytest

from pearhill.bill.files import html
from pearhill.bill.statement import read_folder, sum_up
from pearhill.budgets.charges import Charge
from pearhill.budgets.periods import month_name, periods
from pearhill.chat.budget_accounting import AccountingSettings
from pearhill.chat.budget_answers import format_duration
from pearhill.chat.file import BudgetsFile, BudgetsTable, BudgetTable
from pearhill.chat.setup import load
from pearhill.config import typed
from tests.chat.test_front import PATH, SLOW_CONNECT, ChatCase, body, operator_file
from tests.chat.test_keys import A, B, tenants
from tests.platform.test_leaving import LateReplica
from tests.platform.test_owed import wait_connecting
from tests.standins import ROOT, STREAM_CHUNKS, STREAM_END, Program

LONG = STREAM_CHUNKS[0] * 30
USAGE_AND_END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":9}}\n\ndata: [DONE]\n\n'
)
BILL_COMMAND = (sys.executable, "-c", "from pearhill.cli.main import main; main()", "bill")


def table(**limits: object) -> str:
    """Returns the [budgets] table of the operator's file."""
    rows = "".join(f"{name} = {json.dumps(value)}\n" for name, value in limits.items())
    return f"\n[budgets]\n{rows}"


def tenant(name: str, **limits: object) -> str:
    """Returns the table of one tenant's budget."""
    rows = "".join(f"{key} = {json.dumps(value)}\n" for key, value in limits.items())
    return f"\n[[budgets.tenant]]\nname = {json.dumps(name)}\nweight = 0\n{rows}"


class BudgetCase(ChatCase):
    """A test of a dispatcher with budgets: tenant north has the key A, south has B."""

    def begin(self, *budgets: str, folder: bool = False, count: int = 1, **limits: object) -> None:
        """Start replicas and a dispatcher with these tenants' budgets.

        `limits` are keys of the [budgets] table. `folder` enables the journal.
        """
        if folder:
            parent = tempfile.TemporaryDirectory()
            self.addCleanup(parent.cleanup)
            self.folder = pathlib.Path(parent.name) / "budgets"
            limits["folder"] = str(self.folder)
        extra = tenants(north=[A], south=[B]) + table(**limits) + "".join(budgets)
        self.replica, *self.others = self.start(count, extra)

    def call(self, sent: bytes, key: str = A, **headers: str):
        return self.ask(sent, api_key=key, **headers)

    def usage(self, key: str = A) -> dict:
        status, _, report = self.program.request("GET", "/v1/usage", headers={"api-key": key})
        assert status == 200
        return json.loads(report)

    def restart(self) -> None:
        """Start another process with the same file."""
        config = self.program.config
        self.program = Program("--chat", str(config))
        self.addCleanup(self.program.kill)
        self.program.config = config


class Rejections(BudgetCase):
    def test_beyond_its_rate_a_tenant_is_rejected_with_retry_after_and_nothing_is_sent(self):
        self.begin(tenant("north", tokens_per_min=600, burst_tokens=900))
        status, headers, _ = self.call(body(max_tokens=800))
        assert status == 200
        assert (headers["x-ratelimit-limit-tokens"], headers["x-ratelimit-remaining-tokens"]) == ("900", "96")
        assert re.search(r"^(1m)?\d+(\.\d+)?s$", headers["x-ratelimit-reset-tokens"])
        answer = self.call(body("booking", max_tokens=895), Idempotency_Key="k")
        assert (answer[0], self.error(answer)["code"]) == (429, "rate_limit_exceeded")
        assert 0 < float(answer[1]["retry-after"]) <= 1.2, answer[1]
        assert (answer[1]["x-should-retry"], self.replica.post_count) == ("true", 1)
        assert self.call(body(max_tokens=800), B)[0] == 200  # the usage of north does not count for south
        counters = self.program.counters()
        assert (counters["refused"], counters["taken"], counters["faults"]) == (1, 3, 0)
        assert self.usage()["tokens"]["this_month"] == 11

    def test_a_rejected_booking_runs_once_when_it_is_repeated(self):
        self.begin(tenant("north", tokens_per_min=60_000, burst_tokens=805))
        assert self.call(body("booking", max_tokens=700))[0] == 200
        answers = []
        while not answers or answers[-1][0] == 429:
            answers.append(self.call(body("booking", max_tokens=795), Idempotency_Key="k"))
        assert (answers[-1][0], self.replica.post_count) == (200, 2)
        assert self.call(body("booking", max_tokens=795), Idempotency_Key="k")[0] == 200
        assert self.replica.post_count == 2  # a repeat is neither charged nor executed
        assert self.usage()["tokens"]["this_month"] == 22

    def test_the_output_that_a_client_expects_is_reserved(self):
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=100, debt_tokens=800))
        assert self.call(body())[0] == 200  # the output limit need not be reserved as long as debt_tokens covers it
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=100, debt_tokens=700))
        assert self.call(body())[0] == 429
        assert self.call(body(max_tokens=700), X_Expected_Answer_Tokens="50")[0] == 200

    def test_requests_beyond_a_quota_or_the_limit_of_open_requests_are_rejected(self):
        self.begin(tenant("north", day_tokens=850), tenant("south", open_requests=1))
        assert self.call(body(max_tokens=800))[0] == 200
        answer = self.call(body(max_tokens=8_400))
        assert (answer[0], self.error(answer)["code"], answer[1]["x-should-retry"]) == (
            429,
            "insufficient_quota",
            "false",
        )
        assert self.usage()["tokens"]["day_limit"] == 850
        self.replica.respond = lambda h, b: self.replica.release_answers.wait(20)
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(), {"api-key": B})
        self.replica.wait_for("POST", count=2)
        answer = self.call(body(), B)
        assert (answer[0], self.error(answer)["code"], answer[1]["x-ratelimit-remaining-requests"]) == (
            429,
            "rate_limit_exceeded",
            "0",
        )
        connection.close()  # its request is then no longer open
        self.program.wait_line("side=server .* reason=called-off")
        del self.replica.respond
        assert self.call(body(), B)[0] == 200

    def test_without_budgets_the_usage_report_is_not_found(self):
        self.start(extra=tenants(north=[A]))
        assert self.program.request("GET", "/v1/usage", headers={"api-key": A})[0] == 404
        assert "x-ratelimit-limit-tokens" not in self.call(body())[1]


class Streams(BudgetCase):
    def test_an_answer_three_times_as_long_as_reserved_is_complete_and_leaves_a_debt(self):
        self.begin(tenant("north", tokens_per_min=60, burst_tokens=1_000, debt_tokens=1_000))
        self.replica.respond = lambda h, b: h.chunks(LONG, USAGE_AND_END % 30)
        for _ in range(8):  # the estimate of the output length is learnt from these answers
            assert self.call(body(stream=True, max_tokens=30))[0] == 200
        remaining = self.usage()["tokens"]["remaining"]
        self.replica.respond = lambda h, b: h.chunks(LONG * 30, USAGE_AND_END % 900)
        status, _, got = self.call(body(stream=True, max_tokens=1_000))
        assert (status, got.endswith(b"data: [DONE]\n\n")) == (200, True)
        assert remaining < 900
        debt = 909 - remaining
        assert self.usage()["tokens"]["debt"] in range(debt - 60, debt + 1)  # the debt shrinks with time
        answer = self.call(body("booking", max_tokens=1))
        assert (answer[0], "debt" in self.error(answer)["message"]) == (429, True)
        assert float(answer[1]["retry-after"]) > 100

    def test_what_was_received_of_a_truncated_or_abandoned_answer_is_charged(self):
        self.begin(tenant("north", day_tokens=10**6))
        self.replica.respond = lambda h, b: h.chunks(STREAM_CHUNKS[0] * 7)
        assert self.call(body("booking"))[0] == 502
        first = self.usage()["tokens"]["today"]
        prompt = first - 7
        assert 0 < prompt < 20, first
        self.replica.respond = lambda h, b: h.send_response_body(500)
        assert self.call(body("booking"))[0] == 500  # nothing of the answer was received
        assert self.usage()["tokens"]["today"] == first
        self.replica.respond = lambda h, b: h.send_response_body(400, b'{"error": {"message": "no"}}')
        assert self.call(body("booking"))[0] == 400
        assert self.usage()["tokens"]["today"] == first

        def slow(handler, sent):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            self.replica.release_answers.wait(20)

        self.replica.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body(stream=True), {"api-key": A})
        connection.getresponse().read(len(STREAM_CHUNKS[0]))
        connection.close()
        self.program.wait_line("side=server .* reason=called-off")
        assert (self.usage()["tokens"]["today"], self.usage()["requests"]["open"]) == (first + prompt + 1, 0)

    def test_a_booking_whose_client_disconnects_is_charged_with_its_outcome(self):
        self.begin(tenant("north", day_tokens=10**6))

        def slow(handler, sent):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            self.replica.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
            handler.wfile.write(b"0\r\n\r\n")

        self.replica.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking", stream=True), {"api-key": A})
        connection.getresponse().read(len(STREAM_CHUNKS[0]))
        connection.close()
        self.program.wait_line("side=client .* reason=client-closed")
        assert self.usage()["requests"]["open"] == 1
        self.replica.release_answers.set()
        self.program.wait_line("outcome request=.* state=answered")
        usage = self.usage()
        assert (usage["tokens"]["today"], usage["requests"]["open"], self.replica.post_count) == (11, 0, 1)

    def test_a_booking_that_is_not_begun_because_its_client_disconnects_costs_nothing(self):
        late = LateReplica()
        self.addCleanup(late.close)
        budgets = tenants(north=[A]) + table() + tenant("north", day_tokens=10**6)
        self.start(0, budgets, (late.address,), **SLOW_CONNECT)
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking"), {"api-key": A})
        wait_connecting(late)
        connection.close()
        self.program.wait_line("outcome request=.* state=left")
        usage = self.usage()
        assert (usage["tokens"]["today"], usage["requests"]["open"]) == (0, 0)

    def test_retries_are_one_charge_and_replicas_get_the_limit_that_was_reserved(self):
        self.begin(tenant("north", day_tokens=10**6), count=2)
        answers = iter([lambda h: h.send_response_body(500), lambda h: h.chunks(*STREAM_CHUNKS, STREAM_END)])
        replicas = (self.replica, *self.others)
        for replica in replicas:
            replica.respond = lambda h, b: h.send_response_body(204) if h.command == "DELETE" else next(answers)(h)
        assert self.call(body())[0] == 200
        assert (sum(replica.post_count for replica in replicas), self.usage()["tokens"]["today"]) == (2, 11)
        for replica in replicas:
            assert json.loads(replica.bodies[0])["max_completion_tokens"] == 800


class Persistence(BudgetCase):
    def test_after_a_kill_every_synced_charge_counts_once_and_reservations_are_released(self):
        self.begin(tenant("north", day_tokens=10**6, tokens_per_min=1, burst_tokens=10_000), folder=True)
        for _ in range(5):
            self.call(body())
        self.replica.respond = lambda h, b: self.replica.release_answers.wait(20)
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(), {"api-key": A})
        self.replica.wait_for("POST", count=6)
        assert self.usage()["requests"]["open"] == 1
        while len(read_folder(self.folder)) < 5:  # batches are synced asynchronously
            pass
        self.program.process.send_signal(signal.SIGKILL)
        self.program.stop()
        with open(max(self.folder.glob("*.log")), "ab") as torn:
            torn.write(b"half a frame")
        self.restart()
        self.program.wait_line("budgets: 5 charges replayed after snapshot 0, 12 bytes of a torn write truncated")
        usage = self.usage()
        assert (usage["tokens"]["today"], usage["requests"]["open"]) == (55, 0)
        assert 9_945 <= usage["tokens"]["remaining"] <= 9_950
        del self.replica.respond
        self.call(body())
        assert self.program.stop() == 0
        self.restart()  # a graceful shutdown writes a snapshot
        self.program.wait_line("budgets: 0 charges replayed after snapshot 6, 0 bytes of a torn write truncated")
        assert self.usage()["tokens"]["today"] == 66

    def test_a_damaged_journal_prevents_the_start_with_an_error_that_names_it(self):
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
        assert done.returncode == 1
        assert f"pearhill: budgets.folder: {self.folder}: no snapshot is valid" in done.stderr

    def test_while_the_disk_cannot_be_written_requests_are_served_uncounted_or_rejected(self):
        """The folder is deleted while the process runs, so that the next segment cannot be created."""
        self.begin(tenant("north", day_tokens=10**6), folder=True, uncounted_tokens=12)
        shutil.rmtree(self.folder)
        assert self.call(body())[0] == 200
        self.program.wait_line("budgets: the journal cannot be written: .*; 12 tokens are served uncounted")
        statuses = [self.call(body())[0] for _ in range(4)]
        assert statuses == [200, 200, 429, 429]
        self.folder.mkdir()
        self.program.wait_line("budgets: the journal can be written again")
        assert self.call(body())[0] == 200
        assert self.program.stop() == 0
        assert sum(c.milli for c in read_folder(self.folder) if c.outcome == "answered") == 4 * 11_000

    def test_a_reload_changes_limits_and_keeps_the_usage(self):
        self.begin(tenant("north", day_tokens=10**6))
        self.call(body())
        text = self.program.config.read_text()
        self.program.reload(text.replace("day_tokens = 1000000", "day_tokens = 20"))
        assert self.call(body())[0] == 429
        self.program.reload(
            text.replace("day_tokens = 1000000", "day_tokens = -1"),
            r"reload: the old configuration stays: .*budgets.tenant\[0\].day_tokens: found -1",
        )
        self.program.reload(text)
        assert self.call(body())[0] == 200
        assert self.usage()["tokens"]["today"] == 22


class Bills(BudgetCase):
    def test_totals_of_the_bill_equal_the_charges_of_the_journal(self):
        import pyarrow.parquet

        self.begin(tenant("north", tokens_per_min=1, burst_tokens=830), folder=True, cached_price=0.5)
        for key, sent in ((A, body()), (A, body(max_tokens=8_000)), (B, body()), (B, body())):
            self.call(sent, key)
        self.replica.respond = lambda h, b: h.send_response_body(500)
        self.call(body("booking"), B)
        self.program.stop()
        charges = read_folder(self.folder)
        period = month_name(periods(charges[0].wall)[1])
        done = subprocess.run(
            [*BILL_COMMAND, str(self.folder), "--period", period, "--out", str(self.folder / "out")],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stderr
        out = self.folder / "out" / f"bill-{period}"
        rows = pyarrow.parquet.read_table(out.with_suffix(".parquet")).to_pylist()
        assert sum(row["milli"] for row in rows) == sum(c.milli for c in charges)
        totals = {row["tenant"]: row for row in csv.DictReader(out.with_suffix(".csv").open())}
        assert {k: totals["north"][k] for k in ("requests", "prompt", "cached", "answer", "refused", "milli")} == {
            "requests": "1",
            "prompt": "9",
            "cached": "4",
            "answer": "2",
            "refused": "1",
            "milli": "9000",
        }
        assert (totals["south"]["requests"], totals["south"]["failed"]) == ("3", "1")
        for name in ("requests", "prompt", "cached", "answer", "refused", "failed", "debt", "milli"):
            assert int(totals["total"][name]) == int(totals["north"][name]) + int(totals["south"][name])
        page = out.with_suffix(".html").read_text()
        assert "<td>north</td>" in page
        assert "9.000" in page
        bill = sum_up(charges, period, "south")
        assert (len(bill.lines), bill.total.requests) == (1, 3)
        assert sum_up(charges, "2000-01").lines == []


@pytest.mark.parametrize(
    ("folder", "period", "fault"), [(".", "2026-13", "is no month"), ("none", "2026-12", "is no folder")]
)
def test_the_error_about_an_invalid_bill_request_is_one_line(folder, period, fault, tmp_path):
    command = [*BILL_COMMAND, str(tmp_path / folder), "--period", period]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n"), fault in done.stderr) == (2, 1, True)


def test_names_are_escaped_on_the_page():
    charge = Charge(0, 0, "", "<b>&", "", "", "", "", "answered", 1, 0, 1, 2000, False, 0, 0)
    assert "&lt;b&gt;&amp;" in html(sum_up([charge], "1970-01"))


def settings_of(tmp_path: pathlib.Path, text: str) -> AccountingSettings:
    """Returns the settings of budget accounting from an operator's file."""
    path = tmp_path / "chat.toml"
    path.write_text(text)
    accounting = load(str(path)).accounting
    assert accounting is not None
    return accounting


def test_the_budgets_file_in_deploy_is_valid_and_lists_every_key(tmp_path):
    text = operator_file(["127.0.0.1:1"]).replace("[chat]\n", "[chat]\nbudgets_file = 'deploy/budgets.toml'\n")
    plan = settings_of(tmp_path, text).plan
    assert (plan.tenants["lycee-tiznit"].account, plan.prices.cached) == ("delegation-tiznit", 100)
    typed.load(str(ROOT / "deploy" / "budgets.toml"), BudgetsFile)
    shown = (ROOT / "deploy" / "budgets.toml").read_text()
    for name in (*BudgetsTable.__struct_fields__, *BudgetTable.__struct_fields__):
        if name not in ("key_day_tokens", "key_month_tokens"):
            assert re.search(rf"(?m)^(# )?{name} = |\[+budgets\.{name}\]", shown), name


def test_tenants_of_the_settings_have_their_quota_as_weight(tmp_path):
    text = operator_file(
        ["127.0.0.1:1"],
        table() + tenant("north", day_tokens=5),
        tenants=[{"name": "north", "quota-rps": 5.0}, {"name": "south", "quota-rps": 3.0}],
    )
    plan = settings_of(tmp_path, text).plan
    assert (plan.tenants["north"].weight, plan.tenants["south"].weight) == (0, 3.0)


@pytest.mark.parametrize(
    ("micros", "text"),
    [
        (0, "0ms"),
        (1, "1ms"),
        (12_000, "12ms"),
        (1_500_000, "1.5s"),
        (60_000_000, "1m0s"),
        (361_250_000, "6m1.25s"),
    ],
)
def test_durations_have_the_form_of_rate_limit_headers(micros, text):
    assert format_duration(micros) == text
