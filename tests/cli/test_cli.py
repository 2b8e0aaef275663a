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


def run(*arguments: str, stdin: str = "") -> tuple[int, str, str]:
    completed = subprocess.run(
        [sys.executable, "-c", "from pearhill.cli.main import main; main()", *arguments],
        cwd=ROOT,
        input=stdin,
        capture_output=True,
        text=True,
    )
    return completed.returncode, completed.stdout, completed.stderr


class ServeCommand(Program):
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

    def test_check_prints_a_summary_or_one_error_line(self) -> None:
        code, out, _ = run("check", "deploy/chat.toml")
        assert code == 0
        assert "2 servers, 2 models, 0 tenants, 2 rules" in out
        code, _, err = run("check", write_file(self, operator_file(["nowhere"])))
        assert (code, err.count("\n")) == (2, 1)
        assert re.search("^pearhill: .*chat.toml: server.*address: found 'nowhere'; allowed: ", err)

    def test_schema_has_every_table_of_the_commented_file(self) -> None:
        code, out, _ = run("schema")
        schema = json.loads(out)
        commented_file = tomllib.loads((ROOT / "deploy" / "chat.toml").read_text())
        tables = schema["$defs"]
        assert code == 0
        assert set(commented_file) <= set(tables["OperatorFile"]["properties"])
        assert set(commented_file["chat"]) <= set(tables["ChatTable"]["properties"])
        assert tables["ChatTable"]["properties"]["sockets"]["minimum"] == 64

    def test_key_prints_a_key_and_its_record(self) -> None:
        code, out, _ = run("key")
        key, record = out.split()[1], out.split()[3]
        assert (code, Keyring([(Tenant("t", 3), [record])]).owner(key).number) == (0, 3)
        code, out, _ = run("key", "--known", stdin=f"{key}\n")
        assert (code, key in out) == (0, False)
        assert run("key", "--known", stdin="short\n")[0] == 2

    def test_conform_prints_one_error_line_for_an_unusable_address(self) -> None:
        for arguments, reason in (
            (("http://127.0.0.1:1",), "no front at"),
            (("ftp://x",), "is no http"),
            (("http://127.0.0.1:1", "--listen", "x"), "x"),
        ):
            code, _, err = run("conform", *arguments)
            assert (code, err.count("\n"), reason in err) == (2, 1, True), err

    def test_serve_logs_one_json_object_a_line_with_bound_fields(self) -> None:
        server = Standin()
        self.addCleanup(server.close)
        path = write_file(self, operator_file([server.address]))
        program = ServeCommand("serve", path, "--log-format", "json", "--log-level", "DEBUG")
        self.addCleanup(program.kill)
        assert program.request("POST", PATH, body(), {"X-Client-Request-Id": 'mine "1"'})[0] == 200
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

    def test_serve_rejects_invalid_log_options_and_files(self) -> None:
        path = write_file(self, operator_file(["127.0.0.1:1"]))
        for arguments in ((path, "--log-level", "LOUD"), (path + "x",), (path, "--log-format", "xml")):
            code, _, err = run("serve", *arguments)
            assert (code, "Traceback" in err, bool(err)) == (2, False, True), err
