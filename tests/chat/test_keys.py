"""API keys: the keyring alone, and the daemon that uses it."""

import json
import re
import tempfile

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.chat.keys import InvalidKeyError, Keyring, Tenant, key_in_headers, new_key, record_of
from pearhill.chat.setup import loads
from pearhill.config import ConfigError
from tests.chat.test_front import PATH, ChatCase, body, operator_file
from tests.standins import STREAM_CHUNKS

A, B, C = (f"ph-{letter * 30}" for letter in "abc")


def tenants(**keys: list[str]) -> str:
    """Returns tables of the operator's file: a tenant of each name with the records of its keys."""
    return "".join(
        f'[[chat.tenant]]\nname = "{name}"\nkeys = {json.dumps([record_of(key) for key in tenant_keys])}\n'
        for name, tenant_keys in keys.items()
    )


def test_a_tenant_may_have_several_keys_and_unknown_keys_have_no_owner():
    north = Tenant("north", 0)
    south = Tenant("south", 1)
    keyring = Keyring([(north, [record_of(A), record_of(B)]), (south, [record_of(C)])])
    assert [keyring.owner(key) for key in (A, B, C)] == [north, north, south]
    assert [keyring.owner(key) for key in (new_key(), "", A[:-1], A + "x", A.upper())] == [None] * 5
    assert not Keyring([])


def test_keys_with_the_same_number_are_distinguished():
    first = record_of(A)
    second = record_of(B)
    same_number = f"{first.partition('$')[0]}${second.partition('$')[2]}"  # B's hash under A's number
    keyring = Keyring([(Tenant("north", 0), [same_number]), (Tenant("south", 1), [first])])
    owner = keyring.owner(A)
    assert owner is not None
    assert owner.name == "south"
    assert keyring.owner(B) is None


def test_records_contain_no_key_and_differ_each_time():
    assert record_of(A) != record_of(A)
    assert A[3:] not in record_of(A)


@pytest.mark.parametrize("key", ["", "short", "x" * 257, "with space" * 5, "ключ" * 10])
def test_unusable_keys_have_no_record(key):
    with pytest.raises(InvalidKeyError):
        record_of(key)


@pytest.mark.parametrize("record", ["", A, "12$34$56", record_of(A, bytes(16)) + "0"])
def test_errors_about_malformed_records_contain_no_key(record):
    with pytest.raises(InvalidKeyError) as caught:
        Keyring([(Tenant("north", 0), [record])])
    assert A not in str(caught.value)


@given(st.text(), st.text())
def test_any_header_value_is_read_without_an_error(value, other):
    assert isinstance(key_in_headers({"authorization": value, "api-key": other}), str)
    assert key_in_headers({"authorization": f"Bearer {A}", "api-key": other}) == A
    assert key_in_headers({"authorization": "Basic x", "api-key": other}) == other


def test_a_plain_key_in_the_file_is_not_shown():
    with pytest.raises(ConfigError) as caught:
        loads(operator_file(["127.0.0.1:1"], f'[[chat.tenant]]\nname = "n"\nkeys = ["{A}"]\n'))
    assert "chat.tenant[0].keys[0]" in str(caught.value)
    assert re.search(A, str(caught.value)) is None


class KeysAtTheDaemon(ChatCase):
    EXTRA = "\n[[chat.tenant]]\nname = 'south'\nkeys = [\"%s\"]\nmodels = ['help']\n"

    def begin(self) -> None:
        self.south = record_of(C)
        (self.replica,) = self.start(extra=tenants(north=[A]) + self.EXTRA % self.south)

    def test_requests_without_a_valid_key_or_permission_are_rejected(self):
        self.begin()
        cases = [
            ({}, "help", 401, "invalid_api_key"),
            ({"Authorization": f"Bearer {B}"}, "help", 401, "invalid_api_key"),
            ({"Authorization": f"Basic {A}"}, "help", 401, "invalid_api_key"),
            ({"Authorization": f"Bearer {C}"}, "booking", 403, "model_not_allowed"),
            ({"Authorization": f"Bearer {C}"}, "nobody", 404, "model_not_found"),
        ]
        for headers, model, status, code in cases:
            with self.subTest(headers=headers, model=model):
                answer = self.program.request("POST", PATH, body(model), headers)
                assert (answer[0], self.error(answer)["code"]) == (status, code)
        for headers in ({"Authorization": f"bearer {A}"}, {"api-key": C}):
            assert self.program.request("POST", PATH, body(), headers)[0] == 200
        models = json.loads(self.program.request("GET", "/v1/models", headers={"api-key": C})[2])
        assert [m["id"] for m in models["data"]] == ["help"]
        assert self.program.request("GET", "/v1/models")[0] == 401
        assert self.program.request("GET", "/ready")[0] == 200
        assert self.replica.post_count == 2
        for headers in self.replica.headers:
            assert "Authorization" not in headers
        log = "".join(self.program.lines)
        assert not [k for k in (A, B, C) if k in log]
        assert re.search(
            r"request id=\w+ client_id='' tenant='south' path=/v1/chat/completions model='' status=403", log
        )

    def test_idempotency_keys_are_separate_for_each_tenant(self):
        self.begin()
        for key in (A, C):
            self.ask(body(), Authorization=f"Bearer {key}", Idempotency_Key="same")
        self.ask(body(), api_key=A, Idempotency_Key="same")
        assert self.replica.post_count == 2

    def test_a_key_removed_in_mid_stream_is_rejected_but_the_stream_completes(self):
        self.begin()

        def slow(handler, sent):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            self.replica.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + b"data: [DONE]\n\n")
            handler.wfile.write(b"0\r\n\r\n")

        self.replica.respond = slow
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(stream=True), {"api-key": C})
        response = connection.getresponse()
        first_event = response.read(len(STREAM_CHUNKS[0]))
        text = self.program.config.read_text()
        self.program.reload(text.replace(self.south, record_of(B)), "reload: done, 1 rules, 2 tenants")
        assert self.program.request("POST", PATH, body(), {"api-key": C})[0] == 401
        self.replica.release_answers.set()
        assert (first_event + response.read()).endswith(b"data: [DONE]\n\n")
        del self.replica.respond
        assert self.program.request("POST", PATH, body(), {"api-key": B})[0] == 200

    def test_replicas_are_sent_the_key_of_the_operators_file(self):
        with tempfile.NamedTemporaryFile("w", suffix=".key") as file:
            file.write("server-secret\n")
            file.flush()
            (replica,) = self.start(extra=f"key_file = {json.dumps(file.name)}\n")
            self.ask(body(), Authorization=f"Bearer {A}")
        assert replica.headers[0]["Authorization"] == "Bearer server-secret"
