"""The chat API's front and servers, over real sockets: one core, one outcome, no second run."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest
from typing import Any

from tests.standins import LAST, ROOT, SETTINGS, TOKENS, Program, Standin, dead_address

PATH = "/v1/chat/completions"


def toml(value: Any) -> str:
    """JSON's scalars and lists, and tables in line, as TOML takes them."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(k)} = {toml(v)}" for k, v in value.items()) + "}"
    return "[" + ", ".join(map(toml, value)) + "]" if isinstance(value, list) else json.dumps(value)


def operator_file(addresses: list[str], extra: str = "", **changes: Any) -> str:
    servers = "".join(
        f'[[server]]\nuid = "s{n}"\naddress = "{a}"\nkind = "all-in-one"\n' for n, a in enumerate(addresses)
    )
    rule = '[[chat.rule]]\nmodel = "booking*"\nclass = "job-booking"\n'
    return (
        f"settings = {toml({**SETTINGS, **changes})}\n[chat]\nlisten = '127.0.0.1:0'\n"
        f"models = ['help', 'booking']\n"
        f"{rule}{servers}{extra}"
    )


def write_file(case: unittest.TestCase, text: str) -> str:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "chat.toml"
    path.write_text(text)
    return str(path)


def body(model: str = "help", stream: bool = False, **more: Any) -> bytes:
    return json.dumps(
        {
            "model": model,
            "stream": stream,
            "messages": [{"role": "system", "content": "You help."}, {"role": "user", "content": "How long?"}],
            **more,
        }
    ).encode()


class ChatCase(unittest.TestCase):
    def start(
        self,
        count: int = 1,
        extra: str = "",
        addresses: tuple[str, ...] = (),
        door: bool = False,
    ) -> list[Standin]:
        servers = [Standin() for _ in range(count)]
        for server in servers:
            self.addCleanup(server.close)
        text = operator_file([s.address for s in servers] + list(addresses), extra)
        path = write_file(self, text.replace("[chat]\n", "[chat]\nadmin_addr = '127.0.0.1:0'\n") if door else text)
        self.program = Program("--chat", path)
        self.addCleanup(self.program.kill)
        self.program.config = pathlib.Path(path)
        return servers

    def ask(self, body: bytes, **headers: str) -> tuple[int, dict[str, str], bytes]:
        return self.program.ask("POST", PATH, body, {k.replace("_", "-"): v for k, v in headers.items()})

    def error(self, answer: tuple[int, dict[str, str], bytes]) -> dict[str, Any]:
        error = json.loads(answer[2])["error"]
        self.assertEqual(set(error), {"message", "type", "param", "code"})
        return error


class Answers(ChatCase):
    def test_streamed_events_are_passed_on_unchanged_and_usage_only_where_asked(self):
        (server,) = self.start()
        status, headers, got = self.ask(body(stream=True))
        self.assertEqual((status, headers["content-type"]), (200, "text/event-stream; charset=utf-8"))
        events = LAST.split(b"\n\n")
        self.assertEqual(got, b"".join(TOKENS) + events[0] + b"\n\n" + events[2] + b"\n\n")
        sent = json.loads(server.bodies[0])
        self.assertEqual((sent["stream"], sent["stream_options"]), (True, {"include_usage": True}))
        self.assertEqual(
            self.ask(body(stream=True, stream_options={"include_usage": True}))[2], b"".join(TOKENS) + LAST
        )

    def test_an_answer_in_one_piece(self):
        self.start()
        status, _, got = self.ask(body())
        answer = json.loads(got)
        self.assertEqual((status, answer["object"], answer["usage"]["total_tokens"]), (200, "chat.completion", 11))
        self.assertEqual(answer["choices"][0]["message"], {"role": "assistant", "content": "one two"})
        self.assertEqual(answer["choices"][0]["finish_reason"], "stop")
        self.assertEqual(json.loads(self.program.ask("GET", "/v1/models")[2])["data"][0]["id"], "help")

    def test_bad_requests_are_error_objects_and_counted(self):
        (server,) = self.start()
        bad = [
            b"{",
            b"[]",
            body(model=""),
            json.dumps({"model": "help", "messages": []}).encode(),
            json.dumps({"model": "help", "messages": ["x"]}).encode(),
            body(max_tokens=-1),
            body(metadata={"class": "unheard-of"}),
        ]
        for sent in bad:
            with self.subTest(sent=sent[:60]):
                answer = self.ask(sent)
                self.assertEqual((answer[0], self.error(answer)["type"]), (400, "invalid_request_error"))
        self.assertEqual(self.ask(body(), X_Request_Timeout_Ms="soon")[0], 400)
        self.assertEqual(self.program.ask("GET", PATH)[0], 405)
        self.assertEqual(self.program.ask("GET", "/v2")[0], 404)
        self.assertEqual(self.error(self.ask(b"x" * 300_000))["code"], "bad_http")
        self.assertEqual((self.program.counters()["rejected"], server.runs), (len(bad) + 4, 0))

    def test_a_dead_server_is_refused_with_a_time_to_come_back(self):
        self.start(0, addresses=(dead_address(),))
        answer = self.ask(body("booking"))
        self.assertEqual((answer[0], self.error(answer)["code"]), (503, "server_overloaded"))
        self.assertTrue(0 < float(answer[1]["retry-after"]) <= 0.5)
        self.assertEqual(answer[1]["x-should-retry"], "true")

    def test_a_deadline_of_the_client_ends_a_silent_attempt(self):
        (server,) = self.start()
        server.respond = lambda h, b: server.go.wait(20)
        answer = self.ask(body("booking"), X_Request_Timeout_Ms="300")
        self.assertEqual((answer[0], self.error(answer)["code"], server.runs), (500, "request_failed", 1))
        self.assertEqual(answer[1]["x-should-retry"], "false")

    def test_errors_are_tried_again_only_where_the_class_allows(self):
        servers = self.start(2)
        for server in servers:
            server.respond = lambda h, b: h.plain(500)
        self.assertEqual(self.ask(body("booking"))[0], 500)
        self.assertEqual(sum(s.runs for s in servers), 1)
        self.ask(body("help"))
        self.assertGreater(sum(s.runs for s in servers), 2)


class Reload(ChatCase):
    def test_rules_and_servers_come_from_the_new_file(self):
        first, other = self.start()[0], Standin()
        self.addCleanup(other.close)
        self.program.reload(operator_file([other.address]).replace("'booking'", "'new'"))
        self.assertEqual(self.ask(body())[0], 200)
        self.assertEqual((first.runs, other.runs), (0, 1))
        self.assertEqual(json.loads(self.program.ask("GET", "/v1/models")[2])["data"][1]["id"], "new")
        self.program.reload("[chat", "reload: the old configuration stays")
        self.assertEqual(self.ask(body())[0], 200)


class Events(ChatCase):
    """What a server may send instead of an answer."""

    BAD = (
        b"data: {broken\n\n",
        b"data: 7\n\n",
        b'data: {"error":{"message":"no"}}\n\n',
        b'data: {"choices":[{"index":0}]}\n\n',
        b"data: \xff\n\n",
    )
    EMPTY = b"data: [DONE]\n\n"

    def test_malformed_events_end_as_failed_and_bookings_are_not_run_again(self):
        (server,) = self.start()
        for bad in self.BAD:
            for before in (b"", TOKENS[0]):
                with self.subTest(bad=bad, before=before):
                    runs = server.runs
                    server.respond = lambda h, b, parts=(before + bad,): h.chunks(*parts, last=False)
                    answer = self.ask(body("booking"))
                    self.assertIn(
                        (answer[0], self.error(answer)["code"]), [(500, "request_failed"), (502, "stream_broken")]
                    )
                    self.assertEqual(server.runs, runs + 1)

    def test_an_end_without_an_answer_is_no_answer(self):
        (server,) = self.start()
        server.respond = lambda h, b: h.chunks(self.EMPTY)
        self.assertEqual((self.ask(body("booking"))[0], server.runs), (500, 1))

    def test_a_truncated_stream_is_never_passed_off_as_whole(self):
        (server,) = self.start()
        for parts in ((TOKENS[0],), (TOKENS[0], TOKENS[1][:20])):
            server.respond = lambda h, b, parts=parts: h.chunks(*parts)  # well-formed HTTP, but no [DONE]
            self.assertEqual(self.ask(body("booking"))[0], 502)
            connection = self.program.connect()
            self.addCleanup(connection.close)
            connection.request("POST", PATH, body("booking", stream=True))
            with self.assertRaises(Exception) as broken:
                connection.getresponse().read()
            self.assertEqual(type(broken.exception).__name__, "IncompleteRead")
        self.assertEqual(server.runs, 4)

    def test_a_stalled_stream_ends(self):
        (server,) = self.start()

        def stall(handler, body):
            handler.chunks(TOKENS[0], last=False)
            while not server.go.wait(0.5):
                handler.more(b": comments are no events\n\n")

        server.respond = stall
        self.assertEqual(self.ask(body("booking"))[0], 502)
        self.assertEqual(server.runs, 1)
        self.program.wait_line("side=server .* reason=stalled")

    def test_done_ends_an_answer_whose_last_chunk_never_comes(self):
        (server,) = self.start()

        def endless(handler, body):
            handler.chunks(*TOKENS, LAST, last=False)
            server.go.wait(20)

        server.respond = endless
        self.assertEqual(self.ask(body("booking"))[0], 200)
        self.program.wait_line("side=server .* reason=no-last-chunk")


class OneOutcome(ChatCase):
    def drop(self, server: Standin, **headers: str) -> None:
        """A booking's client takes the first event and leaves; then the server sends the rest."""

        def slow(handler, body):
            handler.chunks(TOKENS[0], last=False)
            server.go.wait(20)
            handler.more(TOKENS[1] + LAST)
            handler.wfile.write(b"0\r\n\r\n")

        server.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking", stream=True), headers)
        connection.sock.recv(4096)
        connection.close()
        self.program.wait_line("side=client .* reason=client-")
        server.go.set()

    def test_a_booking_dropped_in_mid_stream_has_one_run_and_one_answer_for_repeats(self):
        (server,) = self.start()
        self.drop(server, **{"Idempotency-Key": "k1"})
        for _ in range(2):
            status, _, got = self.ask(body("booking", stream=True), Idempotency_Key="k1")
            self.assertEqual((status, got.count(b"data: "), got[-14:]), (200, 4, b"data: [DONE]\n\n"))
        counters = self.program.counters()
        self.assertEqual((server.runs, counters["replayed"], counters["served"], counters["taken"]), (1, 2, 1, 1))
        self.program.wait_line("outcome request=.* state=answered")
        self.assertEqual(self.error(self.ask(body("booking"), Idempotency_Key="k1"))["code"], "idempotency_key_reused")
        self.ask(body("booking", stream=True), Idempotency_Key="k1", Authorization="Bearer someone-else")
        self.assertEqual(server.runs, 2)  # another client's key is another key

    def test_without_a_key_the_run_is_still_seen_through_to_its_outcome(self):
        (server,) = self.start()
        self.drop(server)
        self.program.wait_line("outcome request=.* state=answered")
        self.assertEqual((server.runs, self.program.counters()["served"]), (1, 1))

    def test_a_failed_run_is_repeated_as_failed_and_a_refused_one_runs(self):
        (server,) = self.start()
        server.respond = lambda h, b: h.plain(500)
        for _ in range(2):
            self.assertEqual(self.ask(body("booking"), Idempotency_Key="k2")[0], 500)
        self.assertEqual(server.runs, 1)
        server.respond = lambda h, b: h.plain(503, Not_Started="1")
        self.assertEqual(self.ask(body("booking"), Idempotency_Key="k3")[0], 503)
        del server.respond
        self.assertEqual(self.ask(body("booking"), Idempotency_Key="k3")[0], 200)

    def test_the_store_is_bounded_and_forgets_answers_before_outcomes(self):
        (server,) = self.start(extra="[idempotency]\nmax_bytes = 1200\n")
        for key, status in (("a", 200), ("b", 200), ("a", 409), ("c", 503)):
            with self.subTest(key=key):
                self.assertEqual(self.ask(body("booking"), Idempotency_Key=key)[0], status)
        self.assertEqual(server.runs, 2)

    def test_a_safe_request_ends_with_its_client(self):
        (server,) = self.start()
        server.respond = lambda h, b: server.go.wait(20)
        connection = self.program.connect()
        connection.request("POST", PATH, body())
        server.wait_for("POST")
        connection.close()
        self.program.wait_line("side=server .* reason=called-off")
        self.assertEqual(self.program.counters()["left"], 1)


class OperatorFile(unittest.TestCase):
    def test_bad_files_are_one_line_that_names_the_key(self):
        good = operator_file(["127.0.0.1:1"])
        cases = {
            "chat.listen": good.replace("'127.0.0.1:0'", "'nowhere'"),
            "chat.lisen": good.replace("listen", "lisen"),
            "chat.rule[0].class": good.replace('"job-booking"\n[', '"no-class"\n['),
            "server[0].address": good.replace('127.0.0.1:1"', 'x"'),
            "server": operator_file([]),
            "settings.rulers": good.replace('"rules" =', '"rulers" ='),
            "idempotency.keep_s": good + "[idempotency]\nkeep_s = 0\n",
        }
        for key, text in cases.items():
            with self.subTest(key=key):
                done = subprocess.run(
                    [sys.executable, "-m", "pearhill", "--chat", write_file(self, text)],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                )
                self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1), done.stderr)
                self.assertRegex(done.stderr, f"^pearhill: [^ ]*chat.toml: {re.escape(key)}: ")

    def test_the_file_in_deploy_is_good(self):
        from pearhill.chat.setup import load

        self.assertEqual(load(str(ROOT / "deploy" / "chat.toml")).deployment.class_names, ("advice", "job-booking"))
