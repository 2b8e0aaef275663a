"""The command line, run as a process."""

import json
import re
import subprocess
import sys
import tomllib
import unittest

import pearhill
from pearhill.chat.keys import Keyring, Tenant
from tests.chat.test_front import PATH, body, operator_file, write_file
from tests.standins import ROOT, Program, Standin


def run(*arguments: str, told: str = "") -> tuple[int, str, str]:
    done = subprocess.run(
        [sys.executable, "-c", "from pearhill.cli.main import main; main()", *arguments],
        cwd=ROOT,
        input=told,
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout, done.stderr


class Served(Program):
    """Starts `pearhill` instead of `python -m pearhill`."""

    LAUNCH = ("-c", "from pearhill.cli.main import main; main()")


class Commands(unittest.TestCase):
    def test_version_and_help(self) -> None:
        assert run("version") == (0, f"{pearhill.__version__}\n", "")
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        assert project["version"] == pearhill.__version__
        code, out, _ = run("--help")
        commands = ("serve", "aggregator", "check", "schema", "key", "conform", "version")
        assert [c for c in commands if c not in out] == []

    def test_check(self) -> None:
        code, out, _ = run("check", "deploy/chat.toml")
        assert code == 0
        assert "2 servers, 2 models, 0 tenants, 2 rules" in out
        code, _, err = run("check", write_file(self, operator_file(["nowhere"])))
        assert (code, err.count("\n")) == (2, 1)
        assert re.search("^pearhill: .*chat.toml: server.*address: found 'nowhere'; allowed: ", err)

    def test_schema_knows_every_table_of_the_commented_file(self) -> None:
        code, out, _ = run("schema")
        schema = json.loads(out)
        told = tomllib.loads((ROOT / "deploy" / "chat.toml").read_text())
        tables = schema["$defs"]
        assert code == 0
        assert set(told) <= set(tables["OperatorFile"]["properties"])
        assert set(told["chat"]) <= set(tables["ChatTable"]["properties"])
        assert tables["ChatTable"]["properties"]["sockets"]["minimum"] == 64

    def test_key(self) -> None:
        code, out, _ = run("key")
        key, record = out.split()[1], out.split()[3]
        assert (code, Keyring([(Tenant("t", 3), [record])]).owner(key).number) == (0, 3)
        code, out, _ = run("key", "--known", told=f"{key}\n")
        assert (code, key in out) == (0, False)
        assert run("key", "--known", told="short\n")[0] == 2

    def test_conform_says_what_it_cannot_do(self) -> None:
        for arguments, why in (
            (("http://127.0.0.1:1",), "no front at"),
            (("ftp://x",), "is no http"),
            (("http://127.0.0.1:1", "--listen", "x"), "x"),
        ):
            code, _, err = run("conform", *arguments)
            assert (code, err.count("\n"), why in err) == (2, 1, True), err

    def test_serve_logs_one_object_a_line_with_bound_fields(self) -> None:
        server = Standin()
        self.addCleanup(server.close)
        path = write_file(self, operator_file([server.address]))
        program = Served("serve", path, "--log-format", "json", "--log-level", "DEBUG")
        self.addCleanup(program.kill)
        assert program.ask("POST", PATH, body(), {"X-Client-Request-Id": 'mine "1"'})[0] == 200
        assert program.stop() == 0
        lines = [json.loads(line) for line in program.lines]
        (request,) = [line for line in lines if line["message"].startswith("request id=")]
        assert (request["client"], request["status"], request["level"]) == ('mine "1"', 200, "INFO")
        (attempt,) = [line for line in lines if line["message"].startswith("attempt ")]
        assert (attempt["outcome"], attempt["n"]) == ("answered", 0)
        (counters,) = [line for line in lines if line["message"].startswith("counters ")]
        assert counters["counters"]["served"] == 1
        ended = [line for line in lines if line["message"].startswith("connection ")]
        assert {line["side"] for line in ended} == {"client", "server"}

    def test_serve_turns_bad_levels_and_files_down(self) -> None:
        path = write_file(self, operator_file(["127.0.0.1:1"]))
        for arguments in ((path, "--log-level", "LOUD"), (path + "x",), (path, "--log-format", "xml")):
            code, _, err = run("serve", *arguments)
            assert (code, "Traceback" in err, bool(err)) == (2, False, True), err
