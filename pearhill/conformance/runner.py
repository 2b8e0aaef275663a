"""Runs the cases against a front, one after the other, and writes down what came of each."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import msgspec

from pearhill.chat.errors import ErrorObject
from pearhill.chat.schema import answers as a
from pearhill.chat.schema.chunks import Chunk
from pearhill.conformance.case import CHAT, MODELS, RESPONSES, TEXT, Case, Expect, Seen, within
from pearhill.conformance.client import Got, Wire
from pearhill.conformance.server import ScriptedServer
from pearhill.conformance.suite import CASES
from pearhill.http1.sse import EventParser

WITHIN = 20.0  # seconds for a case
FILE = pathlib.Path(__file__).parent / "front.toml"


class Unreachable(Exception):
    """There is no front to test."""


@dataclass(frozen=True, slots=True)
class Result:
    case: Case
    why: str  # empty: it holds


@dataclass(slots=True)
class Report:
    results: list[Result] = field(default_factory=list)

    @property
    def held(self) -> list[Result]:
        return [result for result in self.results if not result.why]

    @property
    def failed(self) -> list[Result]:
        return [result for result in self.results if result.why]

    def markdown(self) -> str:
        """The page docs/CONFORMANCE.md."""
        groups = Counter(result.case.group for result in self.results)
        lines = [
            "# Conformance",
            "",
            "Written by `pearhill conform --write docs/CONFORMANCE.md`; not by hand.",
            "",
            f"{len(self.held)} of {len(self.results)} cases hold.",
            "",
            "| group | cases |",
            "| --- | --- |",
            *(f"| {group} | {count} |" for group, count in groups.items()),
        ]
        for group in groups:
            lines += ["", f"## {group}", "", "| case | guards against | holds |", "| --- | --- | --- |"]
            for r in self.results:
                if r.case.group == group:
                    told = f"no: {r.why}" if r.why else "yes"
                    lines.append(f"| {r.case.name.partition('/')[2]} | {_cell(r.case.why)} | {_cell(told)} |")
        return "\n".join(lines) + "\n"


def _cell(text: str) -> str:
    return text.replace("|", "\\|").replace("\n", " ")


def text_of(events: Iterable[Any]) -> str:
    """The text of a stream's first choice, on whichever endpoint."""
    text = ""
    for value in events:
        if not isinstance(value, dict):
            continue
        if value.get("type") == "response.output_text.delta":
            text += value["delta"]
        for choice in value.get("choices") or ():
            if choice.get("index", 0) == 0:
                text += choice.get("text") or (choice.get("delta") or {}).get("content") or ""
    return text


# What a good answer, and an event of a stream, must read as, by endpoint.
TYPES: dict[str, tuple[type, type]] = {
    CHAT: (a.ChatCompletion, Chunk),
    TEXT: (a.TextCompletion, a.TextCompletion),
    RESPONSES: (a.Response, a.ResponseEvent),
}


def typed(got: Got, path: str) -> str:
    """Why a good answer is not of its endpoint's form; empty where it is, and where the path has none."""
    whole, event = TYPES.get(path, (None, None))
    whole = whole or (a.ModelList if path == MODELS else a.ModelCard)
    streamed = got.headers.get("content-type", "").startswith("text/event-stream")
    pieces = (
        [e.data for e in EventParser(64 << 20).feed(got.body) if e.data is not None and e.data != b"[DONE]"]
        if streamed
        else [got.body]
    )
    try:
        for piece in pieces:
            if streamed and b'"error"' in piece[:12]:
                msgspec.json.decode(piece, type=ErrorObject)
            else:
                msgspec.json.decode(piece, type=event if streamed else whole)
    except msgspec.DecodeError as e:
        return f"the answer is not of its form: {e}"
    return ""


def _headers(told: dict[str, str], wanted: dict[str, str], absent: tuple[str, ...]) -> str:
    for name, value in wanted.items():
        if name.lower() not in told or (value != "*" and told[name.lower()] != value):
            return f"header {name}: found {told.get(name.lower())!r}, not {value!r}"
    return next((f"header {name} is there" for name in absent if name.lower() in told), "")


def judge_answer(got: Got, expect: Expect, path: str) -> str:
    """Why an answer is not what it must be; empty where it is."""
    if got.status != expect.status:
        return f"status {got.status}, not {expect.status}: {got.body[:200]!r}"
    if why := _headers(got.headers, {"x-request-id": "*", **expect.headers}, expect.absent_headers):
        return why
    if got.whole != (expect.ends == "whole"):
        return f"the answer is {'whole' if got.whole else 'broken'}"
    if expect.body is not None and got.body != expect.body:
        return f"body {got.body[:200]!r}, not {expect.body[:200]!r}"
    if expect.json is not None:
        try:
            told = msgspec.json.decode(got.body)
        except msgspec.DecodeError:
            return f"the body is no JSON: {got.body[:100]!r}"
        if why := within(expect.json, told):
            return why
    if expect.status == 200 and (why := typed(got, path)):
        return why
    if expect.events is None and expect.names is None and expect.text is None:
        return ""
    events = [e for e in EventParser(64 << 20).feed(got.body) if e.data is not None]
    values = [e.data.decode() if e.data == b"[DONE]" else msgspec.json.decode(e.data) for e in events if e.data]
    if expect.text is not None and text_of(values) != expect.text:
        return f"text {text_of(values)!r}, not {expect.text!r}"
    if expect.names is not None and (names := tuple(e.name for e in events)) != expect.names:
        return f"events {names}"
    numbers = [v["sequence_number"] for v in values if isinstance(v, dict) and "sequence_number" in v]
    if numbers and numbers != list(range(len(values))):
        return "sequence numbers do not rise by one"
    return within(list(expect.events), values) if expect.events is not None else ""


def judge_server(server: ScriptedServer, seen: Seen) -> str:
    """Why the server was not treated as it must be; empty where it was."""
    runs = len(server.runs)
    if (seen.runs is None and not runs) or (seen.runs is not None and runs != seen.runs):
        return f"the server had {runs} runs, not {seen.runs if seen.runs is not None else 'some'}"
    if not runs:
        return ""
    body = server.last_body()
    if why := within(seen.fields, body) if seen.fields is not None else "":
        return f"the server was sent: {why}"
    if there := [name for name in seen.absent if name in body]:
        return f"the server was sent {there[0]!r}"
    return _headers(server.runs[-1].headers, seen.headers, seen.absent_headers)


async def run_case(case: Case, server: ScriptedServer, host: str, port: int, key: str) -> str:
    server.load(case.script)
    wire = Wire(host, port)
    headers = {**({"Authorization": f"Bearer {key}"} if key else {}), **case.headers}

    def on_first() -> bool:
        server.seen()
        return case.leaves

    body = None if case.method == "GET" else case.sent
    try:
        await wire.open()
        got = await wire.ask(case.method, case.path, headers, body, WITHIN, on_first)
        if case.leaves:
            if got.status != case.expect.status:
                return f"status {got.status}, not {case.expect.status}"
        elif why := judge_answer(got, case.expect, case.path):
            return why
        elif case.expect.usable is not None and case.expect.usable != await _usable(wire, headers):
            return f"the connection is {'not ' if case.expect.usable else ''}usable"
    except TimeoutError:
        return f"no end within {WITHIN:.0f} s"
    except OSError as e:
        return f"the front cannot be reached: {e}"
    finally:
        wire.close()
        server.release()
        await asyncio.sleep(case.pause)
    return judge_server(server, case.seen)


async def _usable(wire: Wire, headers: dict[str, str]) -> bool:
    """Whether the connection takes another request."""
    try:
        kept = {name: value for name, value in headers.items() if name.lower() in ("authorization", "api-key")}
        return (await wire.ask("GET", MODELS, kept, None, WITHIN)).status in (200, 401)
    except OSError:
        return False


async def run_cases(
    url: str,
    server: ScriptedServer,
    key: str = "",
    only: str = "",
    embedded: bool = False,
) -> Report:
    """`embedded`: the front is inside an application. Unreachable: nothing listens there, or no case has
    such a name."""
    parts = urlsplit(url if "//" in url else f"http://{url}")
    if parts.scheme != "http" or not parts.hostname:
        raise Unreachable(f"{url!r} is no http://HOST:PORT")
    host, port = parts.hostname, parts.port or 80
    cases = [case for case in CASES if only in case.name and not (embedded and case.alone)]
    if not cases:
        raise Unreachable(f"no case has {only!r} in its name")
    try:
        probe = Wire(host, port)
        await probe.open()
        probe.close()
    except OSError as e:
        raise Unreachable(f"no front at {host}:{port}: {e}") from None
    report = Report()
    for case in cases:
        report.results.append(Result(case, await run_case(case, server, host, port, key)))
    return report


async def conform_url(url: str, listen: str, key: str, only: str) -> Report:
    """Test a front that runs already and has the scripted server at `listen` as its only one."""
    server = ScriptedServer()
    host, _, port = listen.rpartition(":")
    await server.start(host.strip("[]") or "127.0.0.1", int(port))
    try:
        return await run_cases(url, server, key, only)
    finally:
        await server.close()


def front_file(address: str) -> str:
    """The operator's file of a front under test."""
    return FILE.read_text(encoding="utf-8").replace("127.0.0.1:8199", address)


@contextlib.asynccontextmanager
async def own_daemon(text: str) -> AsyncIterator[str]:
    """This version's daemon with that operator's file; its base URL. Unreachable: it did not come up."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "front.toml"
        path.write_text(text, encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pearhill",
            "--chat",
            str(path),
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PEARHILL_LOG": "INFO"},
        )
        assert process.stderr
        try:
            async with asyncio.timeout(20):
                while b" listens on " not in (line := await process.stderr.readline()):
                    if not line:
                        raise Unreachable("the daemon did not start")
            drain = asyncio.create_task(process.stderr.read())  # Danger: a full pipe would hold its log up
            yield f"http://{line.decode().rpartition(' ')[2].strip()}"
            process.send_signal(signal.SIGTERM)
            await drain
            await process.wait()
        finally:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


async def conform_own(only: str = "") -> Report:
    """Start this version's daemon and test it."""
    server = ScriptedServer()
    await server.start()
    try:
        async with own_daemon(front_file(server.address)) as url:
            return await run_cases(url, server, only=only)
    finally:
        await server.close()
