"""API keys: the ring by itself, and the daemon that uses it."""

import json
import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pearhill.chat.keys import InvalidKeyError, Keyring, Tenant, key_in_headers, new_key, record_of
from tests.chat.test_front import PATH, ChatCase, body, operator_file
from tests.standins import TOKENS

A, B, C = (f"ph-{letter * 30}" for letter in "abc")


def tenants(**keys: list[str]) -> str:
    rows = "".join(
        f'[[chat.tenant]]\nname = "{name}"\nkeys = {json.dumps([record_of(k) for k in found])}\n'
        for name, found in keys.items()
    )
    return rows


class Ring(unittest.TestCase):
    def test_several_keys_of_a_tenant_and_none_of_others(self):
        north, south = Tenant("north", 0), Tenant("south", 1)
        ring = Keyring([(north, [record_of(A), record_of(B)]), (south, [record_of(C)])])
        self.assertEqual(
            [ring.owner(k) for k in (A, B, C, new_key(), "", A[:-1], A + "x", A.upper())],
            [north, north, south, None, None, None, None, None],
        )
        self.assertFalse(Keyring([]))

    def test_keys_whose_numbers_are_alike_are_told_apart(self):
        first, second = record_of(A), record_of(B)
        alike = f"{first.partition('$')[0]}${second.partition('$')[2]}"  # B's hash under A's number
        ring = Keyring([(Tenant("north", 0), [alike]), (Tenant("south", 1), [first])])
        self.assertEqual((ring.owner(A).name, ring.owner(B)), ("south", None))

    def test_records_hold_no_key_and_differ_each_time(self):
        self.assertNotEqual(record_of(A), record_of(A))
        self.assertNotIn(A[3:], record_of(A))
        for bad in ("", "short", "x" * 257, "with space" * 5, "ключ" * 10):
            with self.subTest(bad=bad), self.assertRaises(InvalidKeyError):
                record_of(bad)
        for bad in ("", A, "12$34$56", record_of(A) + "0"):
            with self.subTest(bad=bad), self.assertRaises(InvalidKeyError) as caught:
                Keyring([(Tenant("north", 0), [bad])])
            self.assertNotIn(A, str(caught.exception))

    @given(st.text(), st.text())
    def test_any_header_gives_a_key_or_none(self, value, other):
        self.assertIsInstance(key_in_headers({"authorization": value, "api-key": other}), str)
        self.assertEqual(key_in_headers({"authorization": f"Bearer {A}", "api-key": other}), A)
        self.assertEqual(key_in_headers({"authorization": "Basic x", "api-key": other}), other)


class Served(ChatCase):
    EXTRA = "\n[[chat.tenant]]\nname = 'south'\nkeys = [\"%s\"]\nmodels = ['help']\n"

    def begin(self) -> None:
        self.south = record_of(C)
        (self.server,) = self.start(extra=tenants(north=[A]) + self.EXTRA % self.south)

    def test_who_may_ask_and_for_what(self):
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
                answer = self.program.ask("POST", PATH, body(model), headers)
                self.assertEqual((answer[0], self.error(answer)["code"]), (status, code))
        for headers in ({"Authorization": f"bearer {A}"}, {"api-key": C}):
            self.assertEqual(self.program.ask("POST", PATH, body(), headers)[0], 200)
        models = json.loads(self.program.ask("GET", "/v1/models", headers={"api-key": C})[2])
        self.assertEqual([m["id"] for m in models["data"]], ["help"])
        self.assertEqual(self.program.ask("GET", "/v1/models")[0], 401)
        self.assertEqual(self.program.ask("GET", "/ready")[0], 200)
        self.assertEqual(self.server.runs, 2)
        for seen in self.server.headers:
            self.assertNotIn("Authorization", seen)
        log = "".join(self.program.lines)
        self.assertFalse([k for k in (A, B, C) if k in log])
        self.assertRegex(
            log, r"request id=\w+ client_id='' tenant='south' path=/v1/chat/completions model='' " "status=403"
        )

    def test_one_tenants_idempotency_keys_are_not_anothers(self):
        self.begin()
        for key in (A, C):
            self.ask(body(), Authorization=f"Bearer {key}", Idempotency_Key="same")
        self.ask(body(), api_key=A, Idempotency_Key="same")
        self.assertEqual(self.server.runs, 2)

    def test_a_key_removed_in_mid_stream_ends_nothing_and_opens_nothing(self):
        self.begin()

        def slow(handler, sent):
            handler.chunks(TOKENS[0], last=False)
            self.server.go.wait(20)
            handler.more(TOKENS[1] + b"data: [DONE]\n\n")
            handler.wfile.write(b"0\r\n\r\n")

        self.server.respond = slow
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, body(stream=True), {"api-key": C})
        response = connection.getresponse()
        got = response.read(len(TOKENS[0]))
        text = self.program.config.read_text()
        self.program.reload(text.replace(self.south, record_of(B)), "reload: done, 1 rules, 2 tenants")
        self.assertEqual(self.program.ask("POST", PATH, body(), {"api-key": C})[0], 401)
        self.server.go.set()
        self.assertTrue((got + response.read()).endswith(b"data: [DONE]\n\n"))
        del self.server.respond
        self.assertEqual(self.program.ask("POST", PATH, body(), {"api-key": B})[0], 200)

    def test_servers_have_keys_of_their_own(self):
        import tempfile

        with tempfile.NamedTemporaryFile("w", suffix=".key") as file:
            file.write("server-secret\n")
            file.flush()
            (server,) = self.start(extra=f"key_file = {json.dumps(file.name)}\n")
            self.ask(body(), Authorization=f"Bearer {A}")
        self.assertEqual(server.headers[0]["Authorization"], "Bearer server-secret")

    def test_a_plain_key_in_the_file_is_not_shown(self):
        from pearhill.chat.setup import loads
        from pearhill.config import ConfigError

        with self.assertRaises(ConfigError) as caught:
            loads(operator_file(["127.0.0.1:1"], f'[[chat.tenant]]\nname = "n"\nkeys = ["{A}"]\n'))
        self.assertIn("chat.tenant[0].keys[0]", str(caught.exception))
        self.assertIsNone(re.search(A, str(caught.exception)))
