"""What a case is: a request, what the server does, what must come back, and what the server must have seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

SAFE, ONCE = "conform-safe", "conform-once"
CHAT, TEXT, RESPONSES, MODELS = "/v1/chat/completions", "/v1/completions", "/v1/responses", "/v1/models"


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that the scripted server does. `hold`: nothing, until the client's side is done; `seen`: nothing, until
    the client has the first piece of its answer."""

    kind: Literal["raw", "chunk", "hold", "seen", "reset"]
    data: bytes = b""


Script = tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Expect:
    """`json` and each of `events` are matched as parts: what they name must be there, the rest may be. `ends`: whole;
    broken: the connection ends without the body's end. `usable`: the connection takes another request. `body`: the
    bytes, to the letter."""

    status: int = 200
    json: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()
    events: tuple[Any, ...] | None = None
    names: tuple[str, ...] | None = None  # of the events, in order
    body: bytes | None = None
    ends: Literal["whole", "broken"] = "whole"
    usable: bool | None = None
    text: str | None = None  # the answer's text, put together from a stream's events


@dataclass(frozen=True, slots=True)
class Seen:
    """`runs`: requests that the server has had whole; None: any number above 0. `fields`: parts of the last one's body;
    `absent`: names that must not be in it; the same for headers."""

    runs: int | None = 1
    fields: Any = None
    absent: tuple[str, ...] = ()
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    why: str  # what it guards against
    body: Any  # a JSON value, or the bytes themselves
    expect: Expect
    script: tuple[Script, ...] = ()  # by run; the last one goes on
    seen: Seen = Seen(runs=0)
    path: str = CHAT
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=dict)
    alone: bool = False  # not for a front inside an application, whose own or whose server's matter it is
    leaves: bool = False  # the client goes after the first event
    pause: float = 0.0  # seconds before the next case, for what the front must forget

    @property
    def group(self) -> str:
        return self.name.partition("/")[0]

    @property
    def sent(self) -> bytes:
        return self.body if isinstance(self.body, bytes) else msgspec.json.encode(self.body)


def within(part: Any, whole: Any) -> str:
    """Where a part is not in a whole, in words; empty where it is. Lists are compared item by item, and in length."""
    if isinstance(part, dict):
        if not isinstance(whole, dict):
            return f"found {whole!r:.80} where an object should be"
        for name, value in part.items():
            if name not in whole:
                return f"no {name!r} in {sorted(whole)}"
            if why := within(value, whole[name]):
                return f"{name}: {why}"
        return ""
    if isinstance(part, list):
        if not isinstance(whole, list) or len(part) != len(whole):
            return f"found {whole!r:.80}, not {len(part)} items"
        pairs = enumerate(zip(part, whole, strict=True))
        return next((f"[{k}]: {why}" for k, (p, w) in pairs if (why := within(p, w))), "")
    return "" if part == whole and type(part) is type(whole) else f"found {whole!r:.120}, not {part!r:.120}"


# Words for the suite.


def raw(data: bytes) -> Step:
    return Step("raw", data)


def head(status: int = 200, **headers: str) -> Step:
    told = {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in told.items() if value)
    return raw(f"HTTP/1.1 {status} Scripted\r\n{lines}\r\n".encode())


def chunk(data: bytes) -> Step:
    return Step("chunk", data)


LAST, HOLD, SEEN, RESET = raw(b"0\r\n\r\n"), Step("hold"), Step("seen"), Step("reset")


def event(value: Any) -> bytes:
    return b"data: %b\n\n" % (value if isinstance(value, bytes) else msgspec.json.encode(value))


DONE = event(b"[DONE]")
TOP = {"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 7, "model": "m"}


def delta(finish: str | None = None, index: int = 0, logprobs: Any = None, **parts: Any) -> dict[str, Any]:
    choice = {"index": index, "delta": parts, "finish_reason": finish}
    return {**TOP, "choices": [{**choice, **({"logprobs": logprobs} if logprobs else {})}]}


USAGE = {
    **TOP,
    "choices": [],
    "usage": {
        "prompt_tokens": 9,
        "completion_tokens": 2,
        "total_tokens": 11,
        "prompt_tokens_details": {"cached_tokens": 4},
    },
}
WORDS = (delta(role="assistant", content="one "), delta(content="two"), delta(finish="stop"))
ANSWER = (*map(event, WORDS), event(USAGE), DONE)


def stream(*parts: bytes, last: bool = True) -> Script:
    """A stream in good order, a chunk an event, unless `last` is left out."""
    return (head(), *map(chunk, parts), *((LAST,) if last else ()))


GOOD = (stream(*ANSWER),)


def plain(status: int, body: Any = b"", **headers: str) -> Script:
    """An answer in one piece."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    told = {
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in told.items())
    return (raw(f"HTTP/1.1 {status} Scripted\r\n{lines}\r\n".encode() + data),)


def failing(code: str | None = None, param: str | None = None, kind: str | None = None) -> dict[str, Any]:
    """An error object, as far as it is told."""
    told = {"code": code, "param": param, "type": kind}
    return {"error": {name: value for name, value in told.items() if value is not None}}


def say(*messages: Any, model: Any = SAFE, **more: Any) -> dict[str, Any]:
    return {"model": model, "messages": list(messages) or [{"role": "user", "content": "Hi"}], **more}
