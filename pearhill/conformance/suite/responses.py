"""Cases of `/v1/responses` without stored state: input and output items, the order of events, rejected requests."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import IDEMPOTENT_MODEL, RESPONSES_PATH, Case, ExpectedRequests, ExpectedResponse
from pearhill.conformance.payloads import CHAT_CHUNKS, chat_chunk, chunk_scripts, sse_event, tool_call_delta
from pearhill.conformance.scripts import WAIT_FOR_CLIENT, http_chunk, response_head
from pearhill.conformance.suite.translated import TranslatedEndpoint

ENDPOINT = TranslatedEndpoint("responses", RESPONSES_PATH)
TOOL = {"type": "function", "name": "book", "parameters": {"type": "object"}, "strict": True}
STREAM_BEGIN, STREAM_END = ("response.created", "response.in_progress"), ("response.completed",)
TEXT_BEGIN = ("response.output_item.added", "response.content_part.added")
TEXT_END = ("response.output_text.done", "response.content_part.done", "response.output_item.done")
CALL_END = ("response.function_call_arguments.done", "response.output_item.done")
CALL_DELTA = "response.function_call_arguments.delta"
TEXT_DELTA = "response.output_text.delta"


def response_request(input: Any = "Hi", **fields: Any) -> dict[str, Any]:
    """Returns the body of a request to `/v1/responses`."""
    return {"model": IDEMPOTENT_MODEL, "input": input, **fields}


INPUT_ITEMS = [
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
ITEMS_AS_MESSAGES = [
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
USAGE = {"input_tokens": 9, "input_tokens_details": {"cached_tokens": 4}, "output_tokens": 2, "total_tokens": 11}
CASES: tuple[Case, ...] = (
    ENDPOINT.answered_case(
        "whole",
        "an answer in the wrong words",
        response_request(),
        ExpectedResponse(
            json={
                "object": "response",
                "status": "completed",
                "model": IDEMPOTENT_MODEL,
                "error": None,
                "store": False,
                "usage": USAGE,
                "output": [
                    {
                        "type": "message",
                        "role": "assistant",
                        "status": "completed",
                        "content": [{"type": "output_text", "text": "one two", "annotations": []}],
                    }
                ],
            },
            connection_usable=True,
        ),
        fields={"messages": [{"role": "user", "content": "Hi"}], "stream": True},
        absent=("input",),
    ),
    ENDPOINT.answered_case(
        "stream",
        "events in another order, or without numbers",
        response_request(stream=True),
        ExpectedResponse(
            event_names=(*STREAM_BEGIN, *TEXT_BEGIN, TEXT_DELTA, TEXT_DELTA, *TEXT_END, *STREAM_END), text="one two"
        ),
    ),
    ENDPOINT.answered_case(
        "stream-fields",
        "events that do not say which item they belong to",
        response_request(stream=True),
        ExpectedResponse(
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
                {"response": {"status": "completed", "usage": USAGE, "output": [{"type": "message"}]}},
            )
        ),
    ),
    ENDPOINT.answered_case(
        "instructions",
        "instructions that are lost",
        response_request(instructions="Be kind."),
        ExpectedResponse(json={"instructions": "Be kind."}),
        fields={"messages": [{"role": "system", "content": "Be kind."}, {}]},
        absent=("instructions",),
    ),
    ENDPOINT.answered_case(
        "items",
        "a conversation that changes on its way",
        response_request(INPUT_ITEMS, instructions="Be kind."),
        ExpectedResponse(),
        fields={"messages": ITEMS_AS_MESSAGES},
    ),
    ENDPOINT.answered_case(
        "options",
        "options under another name in chat",
        response_request(
            max_output_tokens=5,
            text={"format": {"type": "json_schema", "name": "s", "schema": {}}, "verbosity": "low"},
            reasoning={"effort": "low"},
            top_logprobs=2,
            temperature=0.5,
            x_own=1,
        ),
        ExpectedResponse(json={"max_output_tokens": 5, "temperature": 0.5}),
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
    ENDPOINT.answered_case(
        "tools",
        "tools in the wrong form",
        response_request(tools=[TOOL], tool_choice={"type": "function", "name": "book"}),
        ExpectedResponse(json={"tools": [{"type": "function", "name": "book"}]}),
        fields={
            "tools": [
                {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}, "strict": True}}
            ],
            "tool_choice": {"type": "function", "function": {"name": "book"}},
        },
    ),
    ENDPOINT.answered_case(
        "call",
        "a call as text",
        response_request(tools=[TOOL]),
        ExpectedResponse(
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
        chunk_scripts(
            chat_chunk(tool_calls=[tool_call_delta(0, '{"a', "c1", "book")]),
            chat_chunk(tool_calls=[tool_call_delta(0, '":1}')]),
            chat_chunk("tool_calls"),
        ),
    ),
    ENDPOINT.answered_case(
        "call-stream",
        "a call's events",
        response_request(tools=[TOOL], stream=True),
        ExpectedResponse(
            event_names=(*STREAM_BEGIN, "response.output_item.added", CALL_DELTA, CALL_DELTA, *CALL_END, *STREAM_END)
        ),
        chunk_scripts(
            chat_chunk(tool_calls=[tool_call_delta(0, "{", "c1", "book")]),
            chat_chunk(tool_calls=[tool_call_delta(0, "}")]),
            chat_chunk("tool_calls"),
        ),
    ),
    ENDPOINT.answered_case(
        "calls-in-turns",
        "two calls whose pieces mix",
        response_request(tools=[TOOL], stream=True),
        ExpectedResponse(
            event_names=(
                *STREAM_BEGIN,
                *TEXT_BEGIN,
                TEXT_DELTA,
                *TEXT_END,
                "response.output_item.added",
                CALL_DELTA,
                "response.output_item.added",
                CALL_DELTA,
                CALL_DELTA,
                *CALL_END,
                *CALL_END,
                *STREAM_END,
            )
        ),
        chunk_scripts(
            chat_chunk(content="Well"),
            chat_chunk(tool_calls=[tool_call_delta(0, "{", "c1", "book")]),
            chat_chunk(tool_calls=[tool_call_delta(1, "[]", "c2", "book")]),
            chat_chunk(tool_calls=[tool_call_delta(0, "}")]),
            chat_chunk("tool_calls"),
        ),
    ),
    ENDPOINT.answered_case(
        "refusal",
        "a refusal as text",
        response_request(stream=True),
        ExpectedResponse(
            event_names=(
                *STREAM_BEGIN,
                *TEXT_BEGIN,
                "response.refusal.delta",
                "response.refusal.done",
                *TEXT_END[1:],
                *STREAM_END,
            )
        ),
        chunk_scripts(chat_chunk(refusal="No."), chat_chunk("stop")),
    ),
    ENDPOINT.answered_case(
        "incomplete",
        "a cut answer that passes for whole",
        response_request(max_output_tokens=1),
        ExpectedResponse(
            json={
                "status": "incomplete",
                "incomplete_details": {"reason": "max_output_tokens"},
                "output": [{"status": "incomplete"}],
            }
        ),
        chunk_scripts(CHAT_CHUNKS[0], chat_chunk("length")),
    ),
    ENDPOINT.answered_case(
        "incomplete-stream",
        "the same in a stream",
        response_request(stream=True),
        ExpectedResponse(event_names=(*STREAM_BEGIN, *TEXT_BEGIN, TEXT_DELTA, *TEXT_END, "response.incomplete")),
        chunk_scripts(CHAT_CHUNKS[0], chat_chunk("content_filter")),
    ),
    ENDPOINT.answered_case(
        "empty",
        "an answer of no tokens",
        response_request(stream=True),
        ExpectedResponse(event_names=(*STREAM_BEGIN, *STREAM_END)),
        chunk_scripts(chat_chunk("stop")),
    ),
    Case(
        "responses/broken",
        "a break that passes for an end",
        {"model": "conform-once", "input": "Hi", "stream": True},
        ExpectedResponse(truncated=True, event_names=(*STREAM_BEGIN, *TEXT_BEGIN, TEXT_DELTA, "response.failed")),
        ((response_head(), http_chunk(sse_event(CHAT_CHUNKS[0])), WAIT_FOR_CLIENT),),
        ExpectedRequests(),
        path=RESPONSES_PATH,
    ),
    ENDPOINT.rejected_case(
        "previous", response_request(previous_response_id="resp_1"), "previous_response_id", "unsupported_parameter"
    ),
    ENDPOINT.rejected_case("conversation", response_request(conversation="c"), "conversation", "unsupported_parameter"),
    ENDPOINT.rejected_case("store", response_request(store=True), "store", "unsupported_value"),
    ENDPOINT.rejected_case("background", response_request(background=True), "background", "unsupported_value"),
    ENDPOINT.rejected_case("truncation", response_request(truncation="auto"), "truncation", "unsupported_value"),
    ENDPOINT.rejected_case(
        "include", response_request(include=["file_search_call.results"]), "include[0]", "unsupported_value"
    ),
    ENDPOINT.rejected_case(
        "web-search", response_request(tools=[{"type": "web_search"}]), "tools[0].type", "invalid_value"
    ),
    ENDPOINT.rejected_case(
        "item-type", response_request([{"type": "item_reference", "id": "x"}]), "input[0].type", "invalid_value"
    ),
    ENDPOINT.rejected_case(
        "item-role", response_request([{"role": "robot", "content": "x"}]), "input[0].role", "invalid_value"
    ),
    ENDPOINT.rejected_case(
        "item-content", response_request([{"role": "user"}]), "input[0].content", "missing_required_parameter"
    ),
    ENDPOINT.rejected_case(
        "call-name",
        response_request([{"type": "function_call", "call_id": "c", "arguments": ""}]),
        "input[0].name",
        "missing_required_parameter",
    ),
    ENDPOINT.rejected_case(
        "part-type",
        response_request([{"role": "user", "content": [{"type": "text", "text": "x"}]}]),
        "input[0].content[0].type",
        "invalid_value",
    ),
    ENDPOINT.rejected_case(
        "part-of-others",
        response_request([{"role": "user", "content": [{"type": "output_text", "text": "x"}]}]),
        "input[0].content[0].type",
        "invalid_value",
    ),
    ENDPOINT.rejected_case("choice", response_request(tool_choice="required"), "tool_choice", "invalid_value"),
    ENDPOINT.rejected_case("empty-input", response_request([]), "input", "invalid_value"),
)
