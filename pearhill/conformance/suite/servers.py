"""What servers say instead of an answer, and whose answer that is."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    ANSWER,
    GOOD,
    ONCE,
    RESET,
    SAFE,
    Case,
    Expect,
    Seen,
    chunk,
    failing,
    head,
    plain,
    raw,
    say,
    stream,
)

ERROR = {
    "error": {
        "message": "too many tokens",
        "type": "invalid_request_error",
        "param": "messages",
        "code": "context_length_exceeded",
        "x_more": 1,
    }
}
ONE = {"X-Should-Retry": "false"}
FAILED = failing("request_failed", kind="server_error")
CASES: tuple[Case, ...] = (
    *(
        Case(
            f"servers/{status}-is-the-clients",
            f"a {status} tried again, or held against the server",
            say(model=model),
            Expect(status, ERROR, headers=ONE, usable=True),
            (plain(status, ERROR),),
            Seen(),
        )
        for status in (400, 404, 413, 422)
        for model in (SAFE,)
    ),
    Case(
        "servers/400-once",
        "the same for what must run once",
        say(model=ONCE, stream=True),
        Expect(400, ERROR, headers=ONE),
        (plain(400, ERROR),),
        Seen(),
    ),
    Case(
        "servers/400-streamed",
        "a refusal that became a 200, because a stream was asked for",
        say(stream=True),
        Expect(400, ERROR, headers={"Content-Type": "application/json"}),
        (plain(400, ERROR),),
        Seen(),
    ),
    *(
        Case(
            f"servers/{status}-without-words",
            "an error page from something on the way, which proves nothing",
            say(model=ONCE),
            Expect(500, FAILED, headers=ONE),
            (plain(status, b"<html>"),),
            Seen(),
        )
        for status in (400, 404)
    ),
    Case(
        "servers/400-followed",
        "an error that is followed by another answer",
        say(model=ONCE),
        Expect(500, FAILED),
        ((raw(2 * plain(400, ERROR)[0].data),),),
        Seen(),
    ),
    Case(
        "servers/400-shorter",
        "an error of another length than told",
        say(model=ONCE),
        Expect(500, FAILED),
        ((raw(b"HTTP/1.1 400 No\r\nContent-Length: 500\r\n\r\n{}"), RESET),),
        Seen(),
    ),
    *(
        Case(
            f"servers/{status}-is-the-operators",
            "a wrong server key that passes for the client's fault",
            say(model=model),
            Expect(502, failing("server_credentials", kind="server_error"), usable=True),
            (plain(status, ERROR),),
            Seen(),
        )
        for status, model in ((401, SAFE), (403, ONCE))
    ),
    Case(
        "servers/429-rests",
        "a server that asks for rest and is asked again",
        say(model=ONCE),
        Expect(
            503,
            failing("server_overloaded"),
            headers={"Retry-After": "*", "Retry-After-Ms": "*", "X-Should-Retry": "true"},
        ),
        (plain(429, ERROR, Retry_After_Ms="20"),),
        Seen(),
        pause=0.1,
    ),
    Case(
        "servers/429-seconds",
        "the header in seconds",
        say(model=SAFE),
        Expect(503, failing("server_overloaded")),
        (plain(429, ERROR, Retry_After="0.02"),),
        Seen(),
        pause=0.1,
    ),
    Case(
        "servers/503-not-started",
        "a booking that surely never ran, told as failed",
        say(model=ONCE),
        Expect(503, failing("server_overloaded"), headers={"X-Should-Retry": "true"}),
        (plain(503, b"", Not_Started="1"),),
        Seen(runs=None),
    ),
    Case(
        "servers/503-plain",
        "a booking that may have run, told as refused",
        say(model=ONCE),
        Expect(500, FAILED, headers=ONE),
        (plain(503),),
        Seen(),
    ),
    Case(
        "servers/504-plain",
        "the same from a gateway",
        say(model=ONCE),
        Expect(500, FAILED, headers=ONE),
        (plain(504),),
        Seen(),
    ),
    Case(
        "servers/500-once",
        "a booking that is tried again",
        say(model=ONCE),
        Expect(500, FAILED, headers=ONE),
        (plain(500, ERROR),),
        Seen(),
    ),
    Case(
        "servers/json-for-a-stream",
        "an answer in one piece where a stream was asked for",
        say(model=ONCE, stream=True),
        Expect(500, FAILED, headers=ONE),
        (plain(200, {"choices": []}),),
        Seen(),
    ),
    Case(
        "servers/html",
        "a page of a proxy's with status 200",
        say(model=ONCE),
        Expect(500, FAILED),
        (plain(200, b"<html>", Content_Type="text/html"),),
        Seen(),
    ),
    Case(
        "servers/no-http",
        "bytes that are no HTTP",
        say(model=ONCE),
        Expect(500, FAILED),
        ((raw(b"SSH-2.0-x\r\n"),),),
        Seen(),
    ),
    Case(
        "servers/closes",
        "a server that reads the request and closes",
        say(model=ONCE),
        Expect(500, FAILED),
        ((raw(b""),),),
        Seen(),
    ),
    Case(
        "servers/resets",
        "a server that reads the request and resets: it may have run",
        say(model=ONCE),
        Expect(500, FAILED, headers=ONE),
        ((RESET,),),
        Seen(),
    ),
    Case(
        "servers/early-hints",
        "an interim answer before the stream",
        say(stream=True),
        Expect(text="one two"),
        ((raw(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), *stream(*ANSWER)),),
        Seen(),
    ),
    Case(
        "servers/head-without-end",
        "a head that never ends",
        say(model=ONCE),
        Expect(500, FAILED),
        ((raw(b"HTTP/1.1 200 OK\r\n"), *(raw(b"X-Pad: " + b"x" * 1000 + b"\r\n"),) * 60),),
        Seen(),
    ),
    Case(
        "servers/followed-by-another",
        "a second answer behind a good one, which the next request must not get",
        say(stream=True),
        Expect(text="one two"),
        ((head(), *map(chunk, ANSWER), raw(b"0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),),
        Seen(),
    ),
    Case("servers/after-all-that", "a front that has not got over the above", say(), Expect(), GOOD, Seen()),
)


def _repeat(name: str, why: str, first: Any, second: Any, path: str, expect: Expect, runs: int) -> tuple[Case, ...]:
    headers = {"Idempotency-Key": f"conform-{name}"}
    return (
        Case(f"repeats/{name}-first", why, first, Expect(), GOOD, Seen(), headers=headers),
        Case(f"repeats/{name}-again", why, second, expect, GOOD, Seen(runs=runs), headers=headers, path=path),
    )


CASES += (
    *_repeat(
        "same",
        "a booking that runs once for each repeat",
        say(model=ONCE),
        say(model=ONCE),
        "/v1/chat/completions",
        Expect(json={"choices": [{"message": {"content": "one two"}}]}),
        0,
    ),
    *_repeat(
        "stream",
        "a stream that cannot be had again",
        say(model=ONCE, stream=True),
        say(model=ONCE, stream=True),
        "/v1/chat/completions",
        Expect(text="one two"),
        0,
    ),
    *_repeat(
        "other-body",
        "a key that stands for two requests",
        say(model=ONCE),
        say(model=ONCE, n=1),
        "/v1/chat/completions",
        Expect(422, failing("idempotency_key_reused")),
        0,
    ),
    *_repeat(
        "other-endpoint",
        "one key at two endpoints",
        say(model=ONCE),
        {"model": ONCE, "prompt": "Hi"},
        "/v1/completions",
        Expect(422, failing("idempotency_key_reused")),
        0,
    ),
)
