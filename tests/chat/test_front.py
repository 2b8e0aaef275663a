"""The chat front end and its replicas over real sockets: each request has one outcome and is not executed twice."""

import http.client
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

import pytest

from pearhill.chat.setup import load
from tests.platform.test_leaving import LateReplica
from tests.platform.test_owed import wait_connecting
from tests.standins import ROOT, SETTINGS, STREAM_CHUNKS, STREAM_END, Program, Standin, dead_address

PATH = "/v1/chat/completions"
SLOW_CONNECT = {"allowed": {**SETTINGS["allowed"], "connect-timeout": 8_000_000}}


def toml(value: Any) -> str:
    """Converts a JSON value to TOML, with objects as inline tables."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(k)} = {toml(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


def operator_file(addresses: list[str], extra: str = "", **changes: Any) -> str:
    """Returns an operator's file with a replica at each address.

    `changes` replace its settings, and `extra` is appended.
    """
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
    """Write an operator's file that is removed when the test ends. Returns its path."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "chat.toml"
    path.write_text(text)
    return str(path)


def body(model: str = "help", stream: bool = False, **fields: Any) -> bytes:
    """Returns the body of a chat request with these additional fields."""
    return json.dumps(
        {
            "model": model,
            "stream": stream,
            "messages": [{"role": "system", "content": "You help."}, {"role": "user", "content": "How long?"}],
            **fields,
        }
    ).encode()


class ChatCase(unittest.TestCase):
    """A test that starts a dispatcher of the chat API, and replicas whose responses the test sets."""

    def start(
        self,
        count: int = 1,
        extra: str = "",
        addresses: tuple[str, ...] = (),
        admin: bool = False,
        **changes: Any,
    ) -> list[Standin]:
        """Start `count` replicas and a dispatcher (`self.program`) for them.

        `admin` enables the operators' endpoint. `changes` replace its settings.
        """
        replicas = [Standin() for _ in range(count)]
        for replica in replicas:
            self.addCleanup(replica.close)
        text = operator_file([replica.address for replica in replicas] + list(addresses), extra, **changes)
        if admin:
            text = text.replace("[chat]\n", "[chat]\nadmin_addr = '127.0.0.1:0'\n")
        path = write_file(self, text)
        self.program = Program("--chat", path)
        self.addCleanup(self.program.kill)
        self.program.config = pathlib.Path(path)
        return replicas

    def ask(self, body: bytes, **headers: str) -> tuple[int, dict[str, str], bytes]:
        return self.program.request("POST", PATH, body, {k.replace("_", "-"): v for k, v in headers.items()})

    def error(self, answer: tuple[int, dict[str, str], bytes]) -> dict[str, Any]:
        """Returns the error object of an answer, which must have all fields."""
        error = json.loads(answer[2])["error"]
        assert set(error) == {"message", "type", "param", "code"}
        return error


class Answers(ChatCase):
    def test_streamed_events_are_forwarded_unchanged_and_usage_only_where_asked(self):
        (replica,) = self.start()
        status, headers, got = self.ask(body(stream=True))
        assert (status, headers["content-type"]) == (200, "text/event-stream; charset=utf-8")
        events = STREAM_END.split(b"\n\n")
        assert got == b"".join(STREAM_CHUNKS) + events[0] + b"\n\n" + events[2] + b"\n\n"
        sent = json.loads(replica.bodies[0])
        assert (sent["stream"], sent["stream_options"]) == (True, {"include_usage": True})
        assert (
            self.ask(body(stream=True, stream_options={"include_usage": True}))[2]
            == b"".join(STREAM_CHUNKS) + STREAM_END
        )

    def test_a_client_that_does_not_stream_gets_one_chat_completion(self):
        self.start()
        status, _, got = self.ask(body())
        answer = json.loads(got)
        assert (status, answer["object"], answer["usage"]["total_tokens"]) == (200, "chat.completion", 11)
        assert answer["choices"][0]["message"] == {"role": "assistant", "content": "one two"}
        assert answer["choices"][0]["finish_reason"] == "stop"
        assert json.loads(self.program.request("GET", "/v1/models")[2])["data"][0]["id"] == "help"

    def test_a_text_completion_has_null_for_a_log_probability_that_the_replica_left_out(self):
        (replica,) = self.start()
        choice = {
            "delta": {"content": "one"},
            "logprobs": {"content": [{"token": "one", "top_logprobs": [{"token": "one"}, {"token": "two"}]}]},
        }
        event = b"data: %b\n\n" % json.dumps({"choices": [choice]}).encode()
        replica.respond = lambda handler, sent: handler.chunks(event, STREAM_END)
        for stream in (False, True):
            sent = json.dumps({"model": "help", "prompt": "How long?", "logprobs": 2, "stream": stream}).encode()
            status, _, got = self.program.request("POST", "/v1/completions", sent)
            first = got.partition(b"\n")[0].removeprefix(b"data: ")
            logprobs = json.loads(first)["choices"][0]["logprobs"]
            assert (status, logprobs["token_logprobs"]) == (200, [None])
            assert logprobs["top_logprobs"] == [{"one": None, "two": None}]

    def test_invalid_requests_get_error_objects_and_are_counted(self):
        (replica,) = self.start()
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
                assert (answer[0], self.error(answer)["type"]) == (400, "invalid_request_error")
        assert self.ask(body(), X_Request_Timeout_Ms="soon")[0] == 400
        assert self.program.request("GET", PATH)[0] == 405
        assert self.program.request("GET", "/v2")[0] == 404
        assert self.error(self.ask(b"x" * 300_000))["code"] == "bad_http"
        assert (self.program.counters()["rejected"], replica.post_count) == (len(bad) + 4, 0)

    def test_a_request_for_a_dead_replica_is_rejected_with_retry_after(self):
        self.start(0, addresses=(dead_address(),))
        answer = self.ask(body("booking"))
        assert (answer[0], self.error(answer)["code"]) == (503, "server_overloaded")
        assert 0 < float(answer[1]["retry-after"]) <= 0.5
        assert answer[1]["x-should-retry"] == "true"

    def test_an_attempt_without_an_answer_ends_at_the_clients_deadline(self):
        (replica,) = self.start()
        replica.respond = lambda h, b: replica.release_answers.wait(20)
        answer = self.ask(body("booking"), X_Request_Timeout_Ms="300")
        assert (answer[0], self.error(answer)["code"], replica.post_count) == (500, "request_failed", 1)
        assert answer[1]["x-should-retry"] == "false"

    def test_errors_are_retried_only_if_the_class_permits(self):
        replicas = self.start(2)
        for replica in replicas:
            replica.respond = lambda h, b: h.send_response_body(500)
        assert self.ask(body("booking"))[0] == 500
        assert sum(replica.post_count for replica in replicas) == 1
        self.ask(body("help"))
        assert sum(replica.post_count for replica in replicas) > 2


class Reload(ChatCase):
    def test_rules_and_replicas_come_from_the_new_file(self):
        first, other = self.start()[0], Standin()
        self.addCleanup(other.close)
        self.program.reload(operator_file([other.address]).replace("'booking'", "'new'"))
        assert self.ask(body())[0] == 200
        assert (first.post_count, other.post_count) == (0, 1)
        assert json.loads(self.program.request("GET", "/v1/models")[2])["data"][1]["id"] == "new"
        self.program.reload("[chat", "reload: the old configuration stays")
        assert self.ask(body())[0] == 200


class InvalidStreams(ChatCase):
    """Invalid and incomplete streams of a replica."""

    INVALID_EVENTS = (
        b"data: {broken\n\n",
        b"data: 7\n\n",
        b'data: {"error":{"message":"no"}}\n\n',
        b'data: {"choices":[{"index":0}]}\n\n',
        b"data: \xff\n\n",
    )
    DONE_ONLY = b"data: [DONE]\n\n"

    def test_malformed_events_fail_the_request_and_bookings_are_not_retried(self):
        (replica,) = self.start()
        for bad in self.INVALID_EVENTS:
            for before in (b"", STREAM_CHUNKS[0]):
                with self.subTest(bad=bad, before=before):
                    runs = replica.post_count
                    replica.respond = lambda h, b, parts=(before + bad,): h.chunks(*parts, last=False)
                    answer = self.ask(body("booking"))
                    assert (answer[0], self.error(answer)["code"]) in [(500, "request_failed"), (502, "stream_broken")]
                    assert replica.post_count == runs + 1

    def test_done_without_a_chunk_is_answered_with_an_error(self):
        (replica,) = self.start()
        replica.respond = lambda h, b: h.chunks(self.DONE_ONLY)
        assert (self.ask(body("booking"))[0], replica.post_count) == (500, 1)

    def test_a_truncated_stream_is_never_taken_for_complete(self):
        (replica,) = self.start()
        for parts in ((STREAM_CHUNKS[0],), (STREAM_CHUNKS[0], STREAM_CHUNKS[1][:20])):
            replica.respond = lambda h, b, parts=parts: h.chunks(*parts)  # well-formed HTTP, but no [DONE]
            assert self.ask(body("booking"))[0] == 502
            connection = self.program.connect()
            self.addCleanup(connection.close)
            connection.request("POST", PATH, body("booking", stream=True))
            with pytest.raises(http.client.IncompleteRead):
                connection.getresponse().read()
        assert replica.post_count == 4

    def test_a_stalled_stream_is_answered_with_an_error(self):
        (replica,) = self.start()

        def stall(handler, body):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            while not replica.release_answers.wait(0.5):
                handler.send_chunk(b": comments are no events\n\n")

        replica.respond = stall
        assert self.ask(body("booking"))[0] == 502
        assert replica.post_count == 1
        self.program.wait_line("side=server .* reason=stalled")

    def test_done_ends_an_answer_whose_last_chunk_never_comes(self):
        (replica,) = self.start()

        def endless(handler, body):
            handler.chunks(*STREAM_CHUNKS, STREAM_END, last=False)
            replica.release_answers.wait(20)

        replica.respond = endless
        assert self.ask(body("booking"))[0] == 200
        self.program.wait_line("side=server .* reason=no-last-chunk")


class OneOutcome(ChatCase):
    def disconnect_in_mid_stream(self, replica: Standin, **headers: str) -> None:
        """A booking's client reads the first event and disconnects; then the replica sends the rest."""

        def slow(handler, body):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            replica.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
            handler.wfile.write(b"0\r\n\r\n")

        replica.respond = slow
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking", stream=True), headers)
        connection.sock.recv(4096)
        connection.close()
        self.program.wait_line("side=client .* reason=client-")
        replica.release_answers.set()

    def test_a_booking_whose_client_disconnects_runs_once_and_repeats_get_its_answer(self):
        (replica,) = self.start()
        self.disconnect_in_mid_stream(replica, **{"Idempotency-Key": "k1"})
        for _ in range(2):
            status, _, got = self.ask(body("booking", stream=True), Idempotency_Key="k1")
            assert (status, got.count(b"data: "), got[-14:]) == (200, 4, b"data: [DONE]\n\n")
        counters = self.program.counters()
        assert (replica.post_count, counters["replayed"], counters["served"], counters["taken"]) == (1, 2, 1, 1)
        self.program.wait_line("outcome request=.* state=answered")
        assert self.error(self.ask(body("booking"), Idempotency_Key="k1"))["code"] == "idempotency_key_reused"
        self.ask(body("booking", stream=True), Idempotency_Key="k1", Authorization="Bearer someone-else")
        assert replica.post_count == 2  # the same key of another client has a record of its own

    def test_without_a_key_the_run_still_completes_after_a_disconnection(self):
        (replica,) = self.start()
        self.disconnect_in_mid_stream(replica)
        self.program.wait_line("outcome request=.* state=answered")
        assert (replica.post_count, self.program.counters()["served"]) == (1, 1)

    def test_a_booking_without_a_key_is_not_begun_when_its_client_disconnects_before(self):
        """Guards against picture (c) of the second review: a booking was sent on after its client had closed, although
        nobody could get its answer any more. One with a key is sent: its client may ask for the answer again."""
        late = LateReplica()
        self.addCleanup(late.close)
        self.start(0, addresses=(late.address,), **SLOW_CONNECT)
        for keys in ({}, {"Idempotency-Key": "k"}):
            connection = self.program.connect()
            connection.request("POST", PATH, body("booking"), keys)
            wait_connecting(late)
            connection.close()
        self.program.wait_line("outcome request=.* state=left")
        late.accept_from_now_on()
        assert late.accepted.acquire(timeout=20)
        end = time.monotonic() + 20
        while not self.program.counters()["written"]:
            assert time.monotonic() < end
        counters = self.program.counters()
        assert (counters["written"], counters["left"], counters["taken"]) == (1, 1, 2)

    def test_a_booking_without_a_key_is_not_tried_again_after_its_client_has_disconnected(self):
        """The same cause on another path: the attempt that was out at the disconnect had not been executed."""
        replicas = self.start(2)
        for replica in replicas:

            def reject(handler, body, replica=replica):
                replica.release_answers.wait(20)
                handler.send_response_body(503, Not_Started="1")

            replica.respond = reject
        connection = self.program.connect()
        connection.request("POST", PATH, body("booking"))
        while not sum(replica.post_count for replica in replicas):
            time.sleep(0.01)
        connection.close()
        self.program.wait_line("side=client .* reason=client-")
        for replica in replicas:
            replica.release_answers.set()
        self.program.wait_line("outcome request=.* state=left")
        assert sum(replica.post_count for replica in replicas) == 1

    def test_repeats_of_a_failed_run_fail_and_of_a_rejected_one_run(self):
        (replica,) = self.start()
        replica.respond = lambda h, b: h.send_response_body(500)
        for _ in range(2):
            assert self.ask(body("booking"), Idempotency_Key="k2")[0] == 500
        assert replica.post_count == 1
        replica.respond = lambda h, b: h.send_response_body(503, Not_Started="1")
        assert self.ask(body("booking"), Idempotency_Key="k3")[0] == 503
        del replica.respond
        assert self.ask(body("booking"), Idempotency_Key="k3")[0] == 200

    def test_the_store_is_bounded_and_drops_answers_before_outcomes(self):
        (replica,) = self.start(extra="[idempotency]\nmax_bytes = 1200\n")
        for key, status in (("a", 200), ("b", 200), ("a", 409), ("c", 503)):
            with self.subTest(key=key):
                assert self.ask(body("booking"), Idempotency_Key=key)[0] == status
        assert replica.post_count == 2

    def test_an_idempotent_request_is_cancelled_when_its_client_disconnects(self):
        (replica,) = self.start()
        replica.respond = lambda h, b: replica.release_answers.wait(20)
        connection = self.program.connect()
        connection.request("POST", PATH, body())
        replica.wait_for("POST")
        connection.close()
        self.program.wait_line("side=server .* reason=called-off")
        assert self.program.counters()["left"] == 1


VALID_FILE = operator_file(["127.0.0.1:1"])
INVALID_FILES = {
    "chat.listen": VALID_FILE.replace("'127.0.0.1:0'", "'nowhere'"),
    "chat.lisen": VALID_FILE.replace("listen", "lisen"),
    "chat.rule[0].class": VALID_FILE.replace('"job-booking"\n[', '"no-class"\n['),
    "server[0].address": VALID_FILE.replace('127.0.0.1:1"', 'x"'),
    "server": operator_file([]),
    "settings.rulers": VALID_FILE.replace('"rules" =', '"rulers" ='),
    "idempotency.keep_s": VALID_FILE + "[idempotency]\nkeep_s = 0\n",
}


@pytest.mark.parametrize(("key", "text"), INVALID_FILES.items(), ids=list(INVALID_FILES))
def test_the_error_about_a_bad_file_is_one_line_that_names_the_key(key, text, tmp_path):
    path = tmp_path / "chat.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "pearhill", "--chat", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert (done.returncode, done.stderr.count("\n")) == (2, 1), done.stderr
    assert re.search(f"^pearhill: [^ ]*chat.toml: {re.escape(key)}: ", done.stderr)


def test_the_file_in_deploy_is_valid():
    assert load(str(ROOT / "deploy" / "chat.toml")).deployment.class_names == ("advice", "job-booking")
