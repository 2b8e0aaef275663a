"""Errors in operators' files name the place, the value found there and what is allowed."""

import re
import tomllib
import unittest

import pytest

from pearhill.chat.setup import load, loads
from pearhill.config import ConfigError
from tests.chat.test_front import operator_file, write_file
from tests.standins import ROOT

VALID_FILE = operator_file(["127.0.0.1:1"])
SERVER_TABLE = 'uid = "s0"\naddress = "127.0.0.1:1"\nkind = "all-in-one"\n'
# The text that is replaced, its replacement, and the beginning of the error
CASES = (
    ("listen = '127.0.0.1:0'", "listen = 8090", "chat.listen: found 8090; allowed: text"),
    ("listen = '127.0.0.1:0'", "listen = 'here'", "chat.listen: found 'here'; allowed: "),
    ("listen = '127.0.0.1:0'", "listen = 'here:99999'", "chat.listen: found 'here:99999'; allowed: HOST:PORT"),
    ("listen = ", "lisen = ", "chat.lisen: found an unknown key (did you mean listen?); allowed: listen, "),
    ("['help', 'booking']", "['help', 7]", "chat.models[1]: found 7; allowed: text"),
    ("['help', 'booking']", "['help', 'help']", "chat.models[1]: found 'help'; allowed: a name that no other"),
    ("['help', 'booking']", "['help']\nsockets = 10", "chat.sockets: found 10; allowed: a whole number >= 64"),
    ("['help', 'booking']", "['help']\nsockets = true", "chat.sockets: found true; allowed: a whole number"),
    ("['help', 'booking']", "['help']\nheartbeat_s = -1", "chat.heartbeat_s: found -1; allowed: a number >= 0"),
    ("['help', 'booking']", "['help']\ndefault_class = 'x'", "chat.default_class: found 'x'; allowed: advice, job-"),
    ("['help', 'booking']", "['help']\nserver_key_file = '/nowhere/key'", "chat.server_key_file: found '/nowhere/key'"),
    ('class = "job-booking"\n[', 'class = "no"\n[', "chat.rule[0].class: found 'no'; allowed: advice, job-booking"),
    ('class = "job-booking"\n[', "[", "chat.rule[0].class: found nothing; allowed: text; it must be given"),
    (SERVER_TABLE, SERVER_TABLE + 'zone = "west"\n', "server[0].zone: found 'west'; allowed: north, south"),
    ('kind = "all-in-one"', 'kind = "oven"', "server[0].kind: found 'oven'; allowed: reader, writer, all-in-one"),
    ('kind = "all-in-one"\n', "", "server[0].kind: found nothing; allowed: text; it must be given"),
    (SERVER_TABLE, SERVER_TABLE + "capacity = 0\n", "server[0].capacity: found 0; allowed: a number > 0.0"),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[[server]]\n" + SERVER_TABLE,
        "server[1].uid: found 's0'; allowed: a uid that no other server has",
    ),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[eureka]\naddress = 'a:1'\n",
        "eureka.servers: found nothing; allowed: text; it must be given",
    ),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[[chat.model]]\nname = 'm'\nkinds = ['reader']\n",
        "chat.model[0].kinds: found ['reader']; allowed: at least one kind that writes",
    ),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[[chat.model]]\nname = 'm'\naliases = ['help']\n",
        "chat.model[0].aliases[0]: found 'help'; ",
    ),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[[chat.tenant]]\nname = 't'\nmodels = ['none']\n",
        "chat.tenant[0].models[0]: found 'none'; ",
    ),
    (
        SERVER_TABLE,
        SERVER_TABLE + "[[chat.tenant]]\nname = 't'\n[[chat.tenant]]\nname = 't'\n",
        "chat.tenant[1].name: found 't'",
    ),
    ('"effect" = "non_idempotent"', '"effect" = "twice"', "settings.classes[1].effect: found 'twice'; allowed: idem"),
    ('"tick" = 2000', '"tick" = 0', "settings.tick: found 0; allowed: a whole number >= 1"),
    ('"max-attempts" = 5, ', "", "settings.allowed.max-attempts: found nothing; allowed: a whole number; it must be"),
)


class FileErrors(unittest.TestCase):
    def test_an_error_names_the_place_the_value_and_what_is_allowed(self) -> None:
        loads(VALID_FILE)
        for old, new, error in CASES:
            with self.subTest(error=error):
                assert old in VALID_FILE
                text = VALID_FILE.replace(old, new, 1)
                with pytest.raises(ConfigError) as caught:
                    loads(text)
                assert str(caught.value).startswith(error), str(caught.value)
                assert str(caught.value).count("\n") == 0

    def test_an_error_names_a_file_that_is_invalid_or_absent(self) -> None:
        for path in (write_file(self, "[chat"), "/nowhere/chat.toml", str(ROOT)):
            with self.subTest(path=path), pytest.raises(ConfigError) as caught:
                load(path)
            assert str(caught.value).startswith(f"{path}: ")

    def test_the_commented_file_shows_every_key_of_the_chat_table(self) -> None:
        from pearhill.chat.file import ChatTable, ModelTable, TenantTable

        text = (ROOT / "deploy" / "chat.toml").read_text()
        for table in (ChatTable, ModelTable, TenantTable):
            for name in table.__struct_encode_fields__:
                if name not in ("seed", "models", "owned_by", "created"):
                    assert re.search(rf"(?m)^(# )?{name} = |\[\[chat\.{name}\]\]", text), name
        assert "chat" in tomllib.loads(text)
