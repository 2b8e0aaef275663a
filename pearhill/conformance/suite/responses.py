"""`/v1/responses` without stored state: items in and out, and the sequence of events."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    DONE,
    GOOD,
    RESPONSES,
    SAFE,
    SEEN,
    USAGE,
    WORDS,
    Case,
    Expect,
    Seen,
    chunk,
    delta,
    event,
    failing,
    head,
    stream,
)

TOOL = {"type": "function", "name": "book", "parameters": {"type": "object"}, "strict": True}
BEGIN, END = ("response.created", "response.in_progress"), ("response.completed",)
TEXT_BEGIN = ("response.output_item.added", "response.content_part.added")
TEXT_END = ("response.output_text.done", "response.content_part.done", "response.output_item.done")
CALL_END = ("response.function_call_arguments.done", "response.output_item.done")
CALL = "response.function_call_arguments.delta"
DELTA = "response.output_text.delta"


def ask(input: Any = "Hi", **more: Any) -> dict[str, Any]:
    return {"model": SAFE, "input": input, **more}


def bad(name: str, body: Any, param: str, code: str) -> Case:
    return Case(
        f"responses/{name}",
        f"{param}: {code.replace('_', ' ')}",
        body,
        Expect(400, failing(code, param), usable=True),
        path=RESPONSES,
    )


def good(
    name: str, why: str, body: Any, expect: Expect, script: Any = GOOD, fields: Any = None, absent: tuple[str, ...] = ()
) -> Case:
    return Case(f"responses/{name}", why, body, expect, script, Seen(fields=fields, absent=absent), path=RESPONSES)


def said(*chunks: Any) -> Any:
    return (stream(*map(event, chunks), event(USAGE), DONE),)


def piece(index: int, arguments: str, id: str | None = None, name: str | None = None) -> dict[str, Any]:
    return {
        "index": index,
        "function": {"arguments": arguments, **({"name": name} if name else {})},
        **({"id": id, "type": "function"} if id else {}),
    }


TALK = [
    {"role": "user", "content": "Book"},
    {"type": "reasoning", "summary": []},
    {"type": "message", "role": "assistant", "content": [{"type": "output_text", "text": "Which?"}]},
    {"type": "function_call", "call_id": "c1", "name": "book", "arguments": "{}"},
    {"type": "function_call", "call_id": "c2", "name": "book", "arguments": "[]"},
    {"type": "function_call_output", "call_id": "c1", "output": "done"},
    {
        "role": "user",
        "content": [
            {"type": "input_text", "text": "Look"},
            {"type": "input_image", "image_url": "data:,x", "detail": "low"},
            {"type": "input_file", "file_data": "AA==", "filename": "a"},
        ],
    },
]
AS_CHAT = [
    {"role": "system", "content": "Be kind."},
    {"role": "user", "content": "Book"},
    {
        "role": "assistant",
        "content": [{"type": "text", "text": "Which?"}],
        "tool_calls": [
            {"id": "c1", "type": "function", "function": {"name": "book", "arguments": "{}"}},
            {"id": "c2", "type": "function", "function": {"name": "book", "arguments": "[]"}},
        ],
    },
    {"role": "tool", "tool_call_id": "c1", "content": "done"},
    {
        "role": "user",
        "content": [
            {"type": "text", "text": "Look"},
            {"type": "image_url", "image_url": {"url": "data:,x", "detail": "low"}},
            {"type": "file", "file": {"file_data": "AA==", "filename": "a"}},
        ],
    },
]
USED = {"input_tokens": 9, "input_tokens_details": {"cached_tokens": 4}, "output_tokens": 2, "total_tokens": 11}
CASES: tuple[Case, ...] = (
    good(
        "whole",
        "an answer in the wrong words",
        ask(),
        Expect(
            json={
                "object": "response",
                "status": "completed",
                "model": SAFE,
                "error": None,
                "store": False,
                "usage": USED,
                "output": [
                    {
                        "type": "message",
                        "role": "assistant",
                        "status": "completed",
                        "content": [{"type": "output_text", "text": "one two", "annotations": []}],
                    }
                ],
            },
            usable=True,
        ),
        fields={"messages": [{"role": "user", "content": "Hi"}], "stream": True},
        absent=("input",),
    ),
    good(
        "stream",
        "events in another order, or without numbers",
        ask(stream=True),
        Expect(names=(*BEGIN, *TEXT_BEGIN, DELTA, DELTA, *TEXT_END, *END), text="one two"),
    ),
    good(
        "stream-fields",
        "events that do not say which item they belong to",
        ask(stream=True),
        Expect(
            events=(
                {"type": "response.created", "sequence_number": 0, "response": {"status": "in_progress", "output": []}},
                {"type": "response.in_progress"},
                {"output_index": 0, "item": {"status": "in_progress", "content": []}},
                {"output_index": 0, "content_index": 0, "part": {"type": "output_text", "text": ""}},
                {"delta": "one ", "output_index": 0, "content_index": 0, "logprobs": []},
                {"delta": "two"},
                {"text": "one two"},
                {"part": {"text": "one two"}},
                {"item": {"status": "completed"}},
                {"response": {"status": "completed", "usage": USED, "output": [{"type": "message"}]}},
            )
        ),
    ),
    good(
        "instructions",
        "instructions that are lost",
        ask(instructions="Be kind."),
        Expect(json={"instructions": "Be kind."}),
        fields={"messages": [{"role": "system", "content": "Be kind."}, {}]},
        absent=("instructions",),
    ),
    good(
        "items",
        "a conversation that changes on its way",
        ask(TALK, instructions="Be kind."),
        Expect(),
        fields={"messages": AS_CHAT},
    ),
    good(
        "options",
        "options under another name in chat",
        ask(
            max_output_tokens=5,
            text={"format": {"type": "json_schema", "name": "s", "schema": {}}, "verbosity": "low"},
            reasoning={"effort": "low"},
            top_logprobs=2,
            temperature=0.5,
            x_own=1,
        ),
        Expect(json={"max_output_tokens": 5, "temperature": 0.5}),
        fields={
            "max_completion_tokens": 5,
            "response_format": {"type": "json_schema", "json_schema": {"name": "s", "schema": {}}},
            "verbosity": "low",
            "reasoning_effort": "low",
            "logprobs": True,
            "top_logprobs": 2,
            "temperature": 0.5,
            "x_own": 1,
        },
        absent=("text", "reasoning", "max_output_tokens"),
    ),
    good(
        "tools",
        "tools in the wrong form",
        ask(tools=[TOOL], tool_choice={"type": "function", "name": "book"}),
        Expect(json={"tools": [{"type": "function", "name": "book"}]}),
        fields={
            "tools": [
                {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}, "strict": True}}
            ],
            "tool_choice": {"type": "function", "function": {"name": "book"}},
        },
    ),
    good(
        "call",
        "a call as text",
        ask(tools=[TOOL]),
        Expect(
            json={
                "output": [
                    {
                        "type": "function_call",
                        "call_id": "c1",
                        "name": "book",
                        "arguments": '{"a":1}',
                        "status": "completed",
                    }
                ]
            }
        ),
        said(
            delta(tool_calls=[piece(0, '{"a', "c1", "book")]), delta(tool_calls=[piece(0, '":1}')]), delta("tool_calls")
        ),
    ),
    good(
        "call-stream",
        "a call's events",
        ask(tools=[TOOL], stream=True),
        Expect(names=(*BEGIN, "response.output_item.added", CALL, CALL, *CALL_END, *END)),
        said(delta(tool_calls=[piece(0, "{", "c1", "book")]), delta(tool_calls=[piece(0, "}")]), delta("tool_calls")),
    ),
    good(
        "calls-in-turns",
        "two calls whose pieces mix",
        ask(tools=[TOOL], stream=True),
        Expect(
            names=(
                *BEGIN,
                *TEXT_BEGIN,
                DELTA,
                *TEXT_END,
                "response.output_item.added",
                CALL,
                "response.output_item.added",
                CALL,
                CALL,
                *CALL_END,
                *CALL_END,
                *END,
            )
        ),
        said(
            delta(content="Well"),
            delta(tool_calls=[piece(0, "{", "c1", "book")]),
            delta(tool_calls=[piece(1, "[]", "c2", "book")]),
            delta(tool_calls=[piece(0, "}")]),
            delta("tool_calls"),
        ),
    ),
    good(
        "refusal",
        "a refusal as text",
        ask(stream=True),
        Expect(names=(*BEGIN, *TEXT_BEGIN, "response.refusal.delta", "response.refusal.done", *TEXT_END[1:], *END)),
        said(delta(refusal="No."), delta("stop")),
    ),
    good(
        "incomplete",
        "a cut answer that passes for whole",
        ask(max_output_tokens=1),
        Expect(
            json={
                "status": "incomplete",
                "incomplete_details": {"reason": "max_output_tokens"},
                "output": [{"status": "incomplete"}],
            }
        ),
        said(WORDS[0], delta("length")),
    ),
    good(
        "incomplete-stream",
        "the same in a stream",
        ask(stream=True),
        Expect(names=(*BEGIN, *TEXT_BEGIN, DELTA, *TEXT_END, "response.incomplete")),
        said(WORDS[0], delta("content_filter")),
    ),
    good("empty", "an answer of no tokens", ask(stream=True), Expect(names=(*BEGIN, *END)), said(delta("stop"))),
    Case(
        "responses/broken",
        "a break that passes for an end",
        {"model": "conform-once", "input": "Hi", "stream": True},
        Expect(ends="broken", names=(*BEGIN, *TEXT_BEGIN, DELTA, "response.failed")),
        ((head(), chunk(event(WORDS[0])), SEEN),),
        Seen(),
        path=RESPONSES,
    ),
    bad("previous", ask(previous_response_id="resp_1"), "previous_response_id", "unsupported_parameter"),
    bad("conversation", ask(conversation="c"), "conversation", "unsupported_parameter"),
    bad("store", ask(store=True), "store", "unsupported_value"),
    bad("background", ask(background=True), "background", "unsupported_value"),
    bad("truncation", ask(truncation="auto"), "truncation", "unsupported_value"),
    bad("include", ask(include=["file_search_call.results"]), "include[0]", "unsupported_value"),
    bad("web-search", ask(tools=[{"type": "web_search"}]), "tools[0].type", "invalid_value"),
    bad("item-type", ask([{"type": "item_reference", "id": "x"}]), "input[0].type", "invalid_value"),
    bad("item-role", ask([{"role": "robot", "content": "x"}]), "input[0].role", "invalid_value"),
    bad("item-content", ask([{"role": "user"}]), "input[0].content", "missing_required_parameter"),
    bad(
        "call-name",
        ask([{"type": "function_call", "call_id": "c", "arguments": ""}]),
        "input[0].name",
        "missing_required_parameter",
    ),
    bad(
        "part-type",
        ask([{"role": "user", "content": [{"type": "text", "text": "x"}]}]),
        "input[0].content[0].type",
        "invalid_value",
    ),
    bad(
        "part-of-others",
        ask([{"role": "user", "content": [{"type": "output_text", "text": "x"}]}]),
        "input[0].content[0].type",
        "invalid_value",
    ),
    bad("choice", ask(tool_choice="required"), "tool_choice", "invalid_value"),
    bad("empty-input", ask([]), "input", "invalid_value"),
)
