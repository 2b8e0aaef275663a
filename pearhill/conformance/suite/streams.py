"""Streams: byte for byte, cut anywhere, broken in every way."""

from __future__ import annotations

from pearhill.conformance.case import (
    ANSWER,
    DONE,
    GOOD,
    HOLD,
    LAST,
    ONCE,
    RESET,
    SEEN,
    USAGE,
    WORDS,
    Case,
    Expect,
    Script,
    Seen,
    Step,
    chunk,
    delta,
    event,
    failing,
    head,
    raw,
    say,
    stream,
)

ASK = say(stream=True)
ASK_USAGE = say(stream=True, stream_options={"include_usage": True})
BOOK = say(model=ONCE, stream=True)
WITHOUT_USAGE = (*map(event, WORDS), DONE)
SSE = {"Content-Type": "text/event-stream; charset=utf-8", "Cache-Control": "no-cache"}
FIRST = event(WORDS[0])
BROKEN = failing("stream_broken", kind="server_error")
UTF8 = (event(delta(content="é⵿👋é")), event(delta("stop")), DONE)


def bytewise(parts: tuple[bytes, ...], size: int) -> Script:
    whole = b"".join(parts)
    return (head(), *(chunk(whole[at : at + size]) for at in range(0, len(whole), size)), LAST)


def endings(parts: tuple[bytes, ...], end: bytes) -> tuple[bytes, ...]:
    return tuple(part.replace(b"\n", end) for part in parts)


def broken(name: str, why: str, *steps: Step) -> tuple[Case, Case]:
    """The same break at a booking, before its first event and after it: one run, never a second."""
    return (
        Case(
            f"broken/{name}-at-once",
            why,
            BOOK,
            Expect(
                500, failing("request_failed", kind="server_error"), headers={"X-Should-Retry": "false"}, usable=True
            ),
            ((head(), *steps),),
            Seen(),
        ),
        Case(
            f"broken/{name}-later",
            why,
            BOOK,
            Expect(ends="broken", headers=SSE, events=(WORDS[0], BROKEN)),
            ((head(), chunk(FIRST), SEEN, *steps),),
            Seen(),
        ),
    )


BAD_EVENTS: tuple[tuple[str, bytes], ...] = (
    ("no-json", b"data: {broken\n\n"),
    ("number", b"data: 7\n\n"),
    ("no-choices", event({"id": "x"})),
    ("error-event", event({"error": {"message": "no"}})),
    ("error-beside-choices", event({**WORDS[0], "error": "x"})),
    ("no-delta", event({"choices": [{"index": 0}]})),
    ("bad-utf-8", b"data: \xff\n\n"),
    ("bad-utf-8-inside", b'data: {"choices": [{"index": 0, "delta": {"x": "\xff"}}]}\n\n'),
    ("nan", b'data: {"choices": [{"index": 0, "delta": {"x": NaN}}]}\n\n'),
    ("content-number", event({"choices": [{"index": 0, "delta": {"content": 5}}]})),
    ("choice-index-negative", event(delta(index=-1, content="a"))),
    ("choice-index-huge", event(delta(index=10**9, content="a"))),
    ("call-index-negative", event(delta(tool_calls=[{"index": -1, "function": {}}]))),
    ("call-index-huge", event(delta(tool_calls=[{"index": 10**12, "function": {}}]))),
    ("call-index-missing", event(delta(tool_calls=[{"function": {}}]))),
    ("call-arguments-object", event(delta(tool_calls=[{"index": 0, "function": {"arguments": {}}}]))),
    ("logprobs-odd", event(delta(content="a", logprobs={"content": [{"token": 1}]}))),
    ("usage-negative", event({**USAGE, "usage": {"prompt_tokens": -1}})),
    ("deep", b"data: " + b"[" * 50_000 + b"\n\n"),
)
CASES: tuple[Case, ...] = (
    Case(
        "streams/unchanged",
        "events that are not what the server sent",
        ASK,
        Expect(headers=SSE, body=b"".join(WITHOUT_USAGE), usable=True, text="one two"),
        GOOD,
        Seen(),
    ),
    Case(
        "streams/usage",
        "the usage event, where it is asked for",
        ASK_USAGE,
        Expect(body=b"".join(ANSWER)),
        GOOD,
        Seen(),
    ),
    Case(
        "streams/usage-null",
        "usage: null on each chunk, as some servers send it",
        ASK,
        Expect(text="one two"),
        (stream(*(event({**w, "usage": None}) for w in WORDS), DONE),),
        Seen(),
    ),
    Case(
        "streams/spaces",
        "events written with spaces, which must stay",
        ASK,
        Expect(body=b'data:  {"choices": [ {"delta" : {} } ]}  \n\ndata: [DONE]\n\n'),
        (stream(b'data:  {"choices": [ {"delta" : {} } ]}  \n\n', DONE),),
        Seen(),
    ),
    Case(
        "streams/no-space",
        "data: without a space behind its colon",
        ASK,
        Expect(text="one two"),
        (stream(*(part.replace(b"data: ", b"data:") for part in ANSWER)),),
        Seen(),
    ),
    Case(
        "streams/comments",
        "comments of the server's, which are no progress",
        ASK,
        Expect(body=b"".join(WITHOUT_USAGE)),
        (stream(b": hello\n\n", *ANSWER[:1], b":\n\n", *ANSWER[1:]),),
        Seen(),
    ),
    Case(
        "streams/other-fields",
        "id, event and retry fields beside the data",
        ASK,
        Expect(text="one two"),
        (stream(*(b"id: 1\nevent: message\nretry: 5\n" + part for part in ANSWER)),),
        Seen(),
    ),
    Case(
        "streams/two-data-lines",
        "an event in two data lines",
        ASK,
        Expect(body=b'data: {"choices":\ndata: [{"delta":{}}]}\n\ndata: [DONE]\n\n'),
        (stream(b'data: {"choices":\ndata: [{"delta":{}}]}\n\n', DONE),),
        Seen(),
    ),
    Case(
        "streams/cr-lf",
        "lines that end in CR LF",
        ASK,
        Expect(text="one two"),
        (stream(*endings(ANSWER, b"\r\n")),),
        Seen(),
    ),
    Case(
        "streams/cr",
        "lines that end in CR",
        ASK,
        Expect(text="one two"),
        ((*stream(*endings(ANSWER, b"\r"), b"\n", last=False), LAST),),
        Seen(),
    ),
    Case(
        "streams/bom",
        "a byte order mark before the first event",
        ASK,
        Expect(text="one two"),
        (stream(b"\xef\xbb\xbf" + ANSWER[0], *ANSWER[1:]),),
        Seen(),
    ),
    *(
        Case(
            f"streams/cut-every-{size}",
            "events, lines and characters cut anywhere",
            ASK,
            Expect(text="é⵿👋é"),
            (bytewise(UTF8, size),),
            Seen(),
        )
        for size in (1, 2, 3, 5, 7)
    ),
    Case(
        "streams/cut-cr-lf",
        "a CR at the end of one read and its LF in the next",
        ASK,
        Expect(text="one two"),
        (bytewise(endings(ANSWER, b"\r\n"), 1),),
        Seen(),
    ),
    Case(
        "streams/all-in-one",
        "all events in one piece",
        ASK,
        Expect(body=b"".join(WITHOUT_USAGE)),
        ((head(), chunk(b"".join(ANSWER)), LAST),),
        Seen(),
    ),
    Case(
        "streams/no-last-chunk",
        "an answer that is whole with [DONE], whatever its connection does",
        ASK,
        Expect(text="one two"),
        ((head(), *map(chunk, ANSWER), HOLD),),
        Seen(),
    ),
    Case(
        "streams/reset-after-done",
        "a reset behind the end",
        ASK,
        Expect(text="one two"),
        ((head(), *map(chunk, ANSWER), RESET),),
        Seen(),
    ),
    Case(
        "streams/done-doubled",
        "a second [DONE], which nobody may see",
        ASK,
        Expect(body=b"".join(WITHOUT_USAGE)),
        (stream(*ANSWER, DONE),),
        Seen(),
    ),
    Case(
        "streams/after-done",
        "events behind the end",
        ASK,
        Expect(body=b"".join(WITHOUT_USAGE)),
        (stream(*ANSWER, event(WORDS[0])),),
        Seen(),
    ),
    Case(
        "streams/large-event",
        "an event of 200 KB, which is still one",
        ASK,
        Expect(text="x" * 200_000),
        (stream(event(delta(content="x" * 200_000)), event(delta("stop")), DONE),),
        Seen(),
    ),
    Case(
        "streams/upper-case-type",
        "a content type in capitals",
        ASK,
        Expect(text="one two"),
        ((head(Content_Type="Text/Event-Stream; charset=UTF-8"), *map(chunk, ANSWER), LAST),),
        Seen(),
    ),
    Case(
        "streams/leaves",
        "a client that goes in mid-stream: one run, seen through",
        BOOK,
        Expect(),
        ((head(), chunk(FIRST), HOLD, *map(chunk, ANSWER[1:]), LAST),),
        Seen(),
        leaves=True,
    ),
    Case(
        "streams/leaves-text",
        "the same at the older endpoint",
        {"model": ONCE, "prompt": "Hi", "stream": True},
        Expect(),
        ((head(), chunk(FIRST), HOLD, *map(chunk, ANSWER[1:]), LAST),),
        Seen(),
        leaves=True,
        path="/v1/completions",
    ),
    Case(
        "streams/leaves-responses",
        "the same at the newer endpoint",
        {"model": ONCE, "input": "Hi", "stream": True},
        Expect(),
        ((head(), chunk(FIRST), HOLD, *map(chunk, ANSWER[1:]), LAST),),
        Seen(),
        leaves=True,
        path="/v1/responses",
    ),
    *broken("done-early", "a [DONE] before any answer, or an end without it", LAST),
    *broken("eof", "a connection that ends in mid-stream", raw(b"")),
    *broken("reset", "a reset in mid-stream", RESET),
    *broken("half-event", "an end in the middle of an event", chunk(FIRST[:20]), LAST),
    *broken("half-chunk", "an end in the middle of a chunk", raw(b"40\r\ndata: ")),
    *broken("event-of-10-MB", "an event without an end", *(chunk(b"x" * 200_000),) * 50),
    *broken("chunk-of-10-MB", "a chunk without an end", raw(b"a00000\r\n"), *(raw(b"x" * 100_000),) * 100),
    *broken("bad-chunk-size", "a chunk whose size is no number", raw(b"zz\r\n")),
    *(
        case
        for name, bad in BAD_EVENTS
        for case in broken(f"event-{name}", f"an event that makes no sense: {name}", chunk(bad), LAST)
    ),
    Case(
        "broken/done-alone",
        "an end without an answer",
        BOOK,
        Expect(500, failing("request_failed")),
        (stream(DONE),),
        Seen(),
    ),
    Case(
        "broken/whole-answer",
        "a whole answer made of half a stream",
        say(model=ONCE),
        Expect(502, BROKEN, headers={"X-Should-Retry": "false"}, usable=True),
        (stream(FIRST),),
        Seen(),
    ),
    Case(
        "broken/silent",
        "a server that falls silent in mid-stream",
        BOOK,
        Expect(ends="broken", events=(WORDS[0], BROKEN)),
        ((head(), chunk(FIRST), HOLD),),
        Seen(),
    ),
    Case(
        "broken/comments-only",
        "a server that sends comments and nothing else",
        BOOK,
        Expect(ends="broken", events=(WORDS[0], BROKEN)),
        ((head(), chunk(FIRST), *(chunk(b": still here\n\n"),) * 40, HOLD),),
        Seen(),
    ),
)
