"""Whole answers, and what servers are sent for them."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    DONE,
    GOOD,
    ONCE,
    SAFE,
    USAGE,
    WORDS,
    Case,
    Expect,
    Script,
    Seen,
    delta,
    event,
    plain,
    say,
    stream,
)

TOOL = {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}, "strict": True}}
ASKED = {"stream": True, "stream_options": {"include_usage": True}, "model": SAFE}


def message(**told: Any) -> Expect:
    finish = told.pop("finish", "stop")
    return Expect(
        json={
            "object": "chat.completion",
            "id": "chatcmpl-1",
            "created": 7,
            "choices": [{"index": 0, "message": {"role": "assistant", **told}, "finish_reason": finish}],
        },
        headers={"Content-Type": "application/json"},
        usable=True,
    )


def said(*chunks: dict[str, Any]) -> tuple[Script, ...]:
    return (stream(*map(event, chunks), event(USAGE), DONE),)


def call(index: int, id: str | None = None, name: str | None = None, arguments: str = "") -> dict[str, Any]:
    function = {"arguments": arguments, **({"name": name} if name else {})}
    return {"index": index, "function": function, **({"id": id, "type": "function"} if id else {})}


def calls(*parts: dict[str, Any], finish: str | None = None) -> dict[str, Any]:
    return delta(finish, tool_calls=list(parts))


def made(id: str, name: str, arguments: str) -> dict[str, Any]:
    return {"id": id, "type": "function", "function": {"name": name, "arguments": arguments}}


LOGPROBS = {"content": [{"token": "one ", "logprob": -0.5, "bytes": [111], "top_logprobs": []}]}
# name, what it guards against, what the request has beside its message, the server's chunks, what must come back
WHOLE: tuple[tuple[str, str, dict[str, Any], tuple[dict[str, Any], ...], Expect], ...] = (
    ("text", "an answer in one piece", {}, WORDS, message(content="one two")),
    (
        "null-fields",
        "fields that clients send as null",
        {
            "temperature": None,
            "stop": None,
            "tools": None,
            "n": None,
            "stream": None,
            "stream_options": None,
            "max_tokens": None,
        },
        WORDS,
        message(content="one two"),
    ),
    (
        "length",
        "an answer that was cut by its limit",
        {"max_tokens": 2},
        (WORDS[0], delta("length")),
        message(content="one ", finish="length"),
    ),
    (
        "refusal",
        "a refusal, which is no content",
        {},
        (delta(refusal="I "), delta(refusal="won't."), delta("stop")),
        message(refusal="I won't.", content=None),
    ),
    (
        "tool-call",
        "a call whose arguments come in pieces",
        {"tools": [TOOL], "tool_choice": "required"},
        (calls(call(0, "c1", "book", '{"a')), calls(call(0, arguments='":1}')), delta("tool_calls")),
        message(content=None, tool_calls=[made("c1", "book", '{"a":1}')], finish="tool_calls"),
    ),
    (
        "two-tool-calls",
        "calls that come in turns",
        {"tools": [TOOL]},
        (
            calls(call(0, "c1", "book", "{")),
            calls(call(1, "c2", "book", "[")),
            calls(call(0, arguments="}")),
            calls(call(1, arguments="]")),
            delta("tool_calls"),
        ),
        message(tool_calls=[made("c1", "book", "{}"), made("c2", "book", "[]")], finish="tool_calls"),
    ),
    (
        "tool-call-holes",
        "indices that leave holes: no empty call may come of it",
        {"tools": [TOOL]},
        (calls(call(5, "c5", "book", "{}")), calls(call(2, "c2", "book", "[]")), delta("tool_calls")),
        message(tool_calls=[made("c2", "book", "[]"), made("c5", "book", "{}")], finish="tool_calls"),
    ),
    (
        "logprobs",
        "log probabilities lost on the way",
        {"logprobs": True, "top_logprobs": 0},
        (delta(content="one ", logprobs=LOGPROBS), delta("stop")),
        Expect(json={"choices": [{"logprobs": LOGPROBS}]}),
    ),
    (
        "n",
        "several answers, mixed up",
        {"n": 2},
        (
            delta(content="a"),
            delta(index=1, content="b"),
            delta(content="A"),
            delta(index=1, content="B"),
            delta("stop", index=1),
            delta("length"),
        ),
        Expect(
            json={
                "choices": [
                    {"index": 0, "message": {"content": "aA"}, "finish_reason": "length"},
                    {"index": 1, "message": {"content": "bB"}, "finish_reason": "stop"},
                ]
            }
        ),
    ),
    (
        "unknown-delta-field",
        "a server's own field, such as its reasoning",
        {},
        (delta(reasoning_content="hm"), delta(reasoning_content="m"), *WORDS),
        message(content="one two", reasoning_content="hmm"),
    ),
    (
        "usage",
        "counts lost on the way",
        {},
        WORDS,
        Expect(
            json={
                "usage": {
                    "prompt_tokens": 9,
                    "completion_tokens": 2,
                    "total_tokens": 11,
                    "prompt_tokens_details": {"cached_tokens": 4},
                }
            }
        ),
    ),
    ("model", "the server's own name for its model", {}, WORDS, Expect(json={"model": "m"})),
    (
        "unicode",
        "text beyond ASCII",
        {},
        (delta(content="Saläm ⵣ "), delta(content="👋"), delta("stop")),
        message(content="Saläm ⵣ 👋"),
    ),
    ("empty", "an answer of no tokens, which is an answer", {}, (delta("stop", content=""),), message(content="")),
)

# name, what the request has beside its message, what the server must get
SENT: tuple[tuple[str, dict[str, Any], dict[str, Any], tuple[str, ...]], ...] = (
    ("always-a-stream", {}, ASKED, ()),
    (
        "unknown-fields",
        {"x_own": {"deep": [1, {"a": None}]}, "guided": "a|b"},
        {"x_own": {"deep": [1, {"a": None}]}, "guided": "a|b", **ASKED},
        (),
    ),
    (
        "unknown-in-messages",
        {"messages": [{"role": "user", "content": "Hi", "x_tag": 1}]},
        {"messages": [{"role": "user", "content": "Hi", "x_tag": 1}]},
        (),
    ),
    (
        "unknown-stream-option",
        {"stream": True, "stream_options": {"x": 1}},
        {"stream_options": {"x": 1, "include_usage": True}},
        (),
    ),
    (
        "numbers-as-they-are",
        {"temperature": 0.7, "seed": 12345678901234, "top_p": 1},
        {"temperature": 0.7, "seed": 12345678901234, "top_p": 1},
        (),
    ),
    (
        "tools",
        {"tools": [TOOL], "tool_choice": {"type": "function", "function": {"name": "book"}}},
        {"tools": [TOOL], "tool_choice": {"type": "function", "function": {"name": "book"}}},
        (),
    ),
    (
        "allowed-tools",
        {
            "tools": [TOOL],
            "tool_choice": {
                "type": "allowed_tools",
                "allowed_tools": {"mode": "auto", "tools": [{"type": "function", "function": {"name": "book"}}]},
            },
        },
        {"tools": [TOOL]},
        (),
    ),
    (
        "json-schema",
        {"response_format": {"type": "json_schema", "json_schema": {"name": "s", "schema": {}}}},
        {"response_format": {"type": "json_schema", "json_schema": {"name": "s", "schema": {}}}},
        (),
    ),
    (
        "every-part",
        {
            "messages": [
                {
                    "role": "user",
                    "content": [
                        {"type": "text", "text": "Look"},
                        {"type": "image_url", "image_url": {"url": "data:,x", "detail": "low"}},
                        {"type": "input_audio", "input_audio": {"data": "AA==", "format": "wav"}},
                        {"type": "file", "file": {"file_id": "f1"}},
                    ],
                }
            ]
        },
        {
            "messages": [
                {
                    "role": "user",
                    "content": [{"type": "text"}, {"type": "image_url"}, {"type": "input_audio"}, {"type": "file"}],
                }
            ]
        },
        (),
    ),
    (
        "a-whole-talk",
        {
            "messages": [
                {"role": "system", "content": "Help."},
                {"role": "developer", "content": [{"type": "text", "text": "Kindly."}]},
                {"role": "user", "content": "Book", "name": "amal"},
                {"role": "assistant", "content": None, "tool_calls": [made("c1", "book", "{}")]},
                {"role": "tool", "tool_call_id": "c1", "content": "done"},
                {
                    "role": "assistant",
                    "content": [{"type": "text", "text": "It is"}, {"type": "refusal", "refusal": "no"}],
                },
                {"role": "function", "name": "old", "content": "7"},
                {"role": "user", "content": "Thanks"},
            ]
        },
        {"messages": [{}, {}, {}, {}, {}, {}, {}, {}]},
        (),
    ),
    ("alias", {"model": "conform-alias"}, {"model": SAFE}, ()),
    ("served-as", {"model": ONCE}, {"model": "served-once"}, ()),
    (
        "escapes",
        {"messages": [{"role": "user", "content": '\u2028 " \\ \n é'}]},
        {"messages": [{"role": "user", "content": '\u2028 " \\ \n é'}]},
        (),
    ),
)
CASES: tuple[Case, ...] = (
    *(
        Case(f"answers/{name}", why, say(**more), expect, said(*chunks), Seen())
        for name, why, more, chunks, expect in WHOLE
    ),
    *(
        Case(
            f"sent/{name}",
            "a field that is lost or changed on its way to the server",
            {**say(), **more},
            Expect(),
            GOOD,
            Seen(fields=fields, absent=absent),
        )
        for name, more, fields, absent in SENT
    ),
    Case(
        "sent/duplicate-field",
        "a field named twice, where two readers could each believe another one",
        b'{"model": "nobody", "messages": [{"role": "user", "content": "a"}], "model": "conform-safe"}',
        Expect(),
        GOOD,
        Seen(fields={"model": SAFE}),
    ),
    Case(
        "sent/no-client-key",
        "the client's key at a server",
        say(),
        Expect(),
        GOOD,
        Seen(absent_headers=("authorization", "api-key", "cookie")),
        headers={"Authorization": "Bearer somebodys-key", "Cookie": "a=b"},
    ),
    Case(
        "sent/request-id",
        "an answer that cannot be found in the server's log",
        say(),
        Expect(),
        GOOD,
        Seen(headers={"Request-Id": "*", "Request-Timeout-Ms": "*"}),
    ),
    Case(
        "sent/content-encoding-identity",
        "an encoding that is none",
        say(),
        Expect(),
        GOOD,
        Seen(),
        headers={"Content-Encoding": "identity"},
    ),
    Case(
        "retries/500-then-good",
        "a question that is not tried again",
        say(),
        Expect(),
        (plain(500), *GOOD),
        Seen(runs=2),
    ),
    Case(
        "retries/500-then-good-stream",
        "the same in a stream, before its first event",
        say(stream=True),
        Expect(text="one two"),
        (plain(500), *GOOD),
        Seen(runs=2),
    ),
)
