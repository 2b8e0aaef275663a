"""Cases of complete answers, of the requests that the replica receives, and of retries."""

from __future__ import annotations

from typing import Any, NamedTuple

from pearhill.conformance.case import IDEMPOTENT_MODEL, NON_IDEMPOTENT_MODEL, Case, ExpectedRequests, ExpectedResponse
from pearhill.conformance.payloads import (
    CHAT_CHUNKS,
    SUCCESS_SCRIPTS,
    chat_chunk,
    chat_request,
    chunk_scripts,
    tool_call_delta,
)
from pearhill.conformance.scripts import plain_response

TOOL = {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}, "strict": True}}
STREAM_FIELDS = {"stream": True, "stream_options": {"include_usage": True}, "model": IDEMPOTENT_MODEL}


class AnswerRow(NamedTuple):
    """A complete answer: the chunks that the replica streams and the response that the client must receive."""

    name: str
    guards_against: str
    fields: dict[str, Any]  # further fields of the request, whose message is the default one
    chunks: tuple[dict[str, Any], ...]  # the replica's stream, without the usage chunk and [DONE]
    expected: ExpectedResponse

    def case(self) -> Case:
        """Returns the row as a case of the group "answers"."""
        return Case(
            f"answers/{self.name}",
            self.guards_against,
            chat_request(**self.fields),
            self.expected,
            chunk_scripts(*self.chunks),
            ExpectedRequests(),
        )


class ForwardedRow(NamedTuple):
    """A case of a request and of the fields that the replica must receive for it."""

    name: str
    fields: dict[str, Any]  # fields of the request, which extend or replace the default ones
    forwarded: dict[str, Any]  # fields that the replica must receive

    def case(self) -> Case:
        """Returns the row as a case of the group "sent"."""
        return Case(
            f"sent/{self.name}",
            "a field that is lost or changed on its way to the server",
            {**chat_request(), **self.fields},
            ExpectedResponse(),
            SUCCESS_SCRIPTS,
            ExpectedRequests(fields=self.forwarded),
        )


def expected_message(finish_reason: str = "stop", **fields: Any) -> ExpectedResponse:
    """Returns the expected complete answer with this `finish_reason`, whose message has these fields."""
    return ExpectedResponse(
        json={
            "object": "chat.completion",
            "id": "chatcmpl-1",
            "created": 7,
            "choices": [{"index": 0, "message": {"role": "assistant", **fields}, "finish_reason": finish_reason}],
        },
        headers={"Content-Type": "application/json"},
        connection_usable=True,
    )


def tool_call_chunk(*deltas: dict[str, Any]) -> dict[str, Any]:
    """Returns a chunk with these parts of tool calls."""
    return chat_chunk(tool_calls=list(deltas))


def tool_call(id: str, name: str, arguments: str) -> dict[str, Any]:
    """Returns a complete tool call in the format of a message."""
    return {"id": id, "type": "function", "function": {"name": name, "arguments": arguments}}


LOGPROBS = {"content": [{"token": "one ", "logprob": -0.5, "bytes": [111], "top_logprobs": []}]}
ANSWER_ROWS: tuple[AnswerRow, ...] = (
    AnswerRow("text", "an answer in one piece", {}, CHAT_CHUNKS, expected_message(content="one two")),
    AnswerRow(
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
        CHAT_CHUNKS,
        expected_message(content="one two"),
    ),
    AnswerRow(
        "length",
        "an answer that was cut by its limit",
        {"max_tokens": 2},
        (CHAT_CHUNKS[0], chat_chunk("length")),
        expected_message(content="one ", finish_reason="length"),
    ),
    AnswerRow(
        "refusal",
        "a refusal, which is no content",
        {},
        (chat_chunk(refusal="I "), chat_chunk(refusal="won't."), chat_chunk("stop")),
        expected_message(refusal="I won't.", content=None),
    ),
    AnswerRow(
        "tool-call",
        "a call whose arguments come in pieces",
        {"tools": [TOOL], "tool_choice": "required"},
        (
            tool_call_chunk(tool_call_delta(0, '{"a', "c1", "book")),
            tool_call_chunk(tool_call_delta(0, arguments='":1}')),
            chat_chunk("tool_calls"),
        ),
        expected_message(content=None, tool_calls=[tool_call("c1", "book", '{"a":1}')], finish_reason="tool_calls"),
    ),
    AnswerRow(
        "two-tool-calls",
        "calls that come in turns",
        {"tools": [TOOL]},
        (
            tool_call_chunk(tool_call_delta(0, "{", "c1", "book")),
            tool_call_chunk(tool_call_delta(1, "[", "c2", "book")),
            tool_call_chunk(tool_call_delta(0, arguments="}")),
            tool_call_chunk(tool_call_delta(1, arguments="]")),
            chat_chunk("tool_calls"),
        ),
        expected_message(
            tool_calls=[tool_call("c1", "book", "{}"), tool_call("c2", "book", "[]")], finish_reason="tool_calls"
        ),
    ),
    AnswerRow(
        "tool-call-holes",
        "indices that leave holes: no empty call may come of it",
        {"tools": [TOOL]},
        (
            tool_call_chunk(tool_call_delta(5, "{}", "c5", "book")),
            tool_call_chunk(tool_call_delta(2, "[]", "c2", "book")),
            chat_chunk("tool_calls"),
        ),
        expected_message(
            tool_calls=[tool_call("c2", "book", "[]"), tool_call("c5", "book", "{}")], finish_reason="tool_calls"
        ),
    ),
    AnswerRow(
        "logprobs",
        "log probabilities lost on the way",
        {"logprobs": True, "top_logprobs": 0},
        (chat_chunk(content="one ", logprobs=LOGPROBS), chat_chunk("stop")),
        ExpectedResponse(json={"choices": [{"logprobs": LOGPROBS}]}),
    ),
    AnswerRow(
        "n",
        "several answers, mixed up",
        {"n": 2},
        (
            chat_chunk(content="a"),
            chat_chunk(index=1, content="b"),
            chat_chunk(content="A"),
            chat_chunk(index=1, content="B"),
            chat_chunk("stop", index=1),
            chat_chunk("length"),
        ),
        ExpectedResponse(
            json={
                "choices": [
                    {"index": 0, "message": {"content": "aA"}, "finish_reason": "length"},
                    {"index": 1, "message": {"content": "bB"}, "finish_reason": "stop"},
                ]
            }
        ),
    ),
    AnswerRow(
        "unknown-delta-field",
        "a server's own field, such as its reasoning",
        {},
        (chat_chunk(reasoning_content="hm"), chat_chunk(reasoning_content="m"), *CHAT_CHUNKS),
        expected_message(content="one two", reasoning_content="hmm"),
    ),
    AnswerRow(
        "usage",
        "counts lost on the way",
        {},
        CHAT_CHUNKS,
        ExpectedResponse(
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
    AnswerRow("model", "the server's own name for its model", {}, CHAT_CHUNKS, ExpectedResponse(json={"model": "m"})),
    AnswerRow(
        "unicode",
        "text beyond ASCII",
        {},
        (chat_chunk(content="Saläm ⵣ "), chat_chunk(content="👋"), chat_chunk("stop")),
        expected_message(content="Saläm ⵣ 👋"),
    ),
    AnswerRow(
        "empty",
        "an answer of no tokens, which is an answer",
        {},
        (chat_chunk("stop", content=""),),
        expected_message(content=""),
    ),
)

FORWARDED_ROWS: tuple[ForwardedRow, ...] = (
    ForwardedRow("always-a-stream", {}, STREAM_FIELDS),
    ForwardedRow(
        "unknown-fields",
        {"x_own": {"deep": [1, {"a": None}]}, "guided": "a|b"},
        {"x_own": {"deep": [1, {"a": None}]}, "guided": "a|b", **STREAM_FIELDS},
    ),
    ForwardedRow(
        "unknown-in-messages",
        {"messages": [{"role": "user", "content": "Hi", "x_tag": 1}]},
        {"messages": [{"role": "user", "content": "Hi", "x_tag": 1}]},
    ),
    ForwardedRow(
        "unknown-stream-option",
        {"stream": True, "stream_options": {"x": 1}},
        {"stream_options": {"x": 1, "include_usage": True}},
    ),
    ForwardedRow(
        "numbers-as-they-are",
        {"temperature": 0.7, "seed": 12345678901234, "top_p": 1},
        {"temperature": 0.7, "seed": 12345678901234, "top_p": 1},
    ),
    ForwardedRow(
        "tools",
        {"tools": [TOOL], "tool_choice": {"type": "function", "function": {"name": "book"}}},
        {"tools": [TOOL], "tool_choice": {"type": "function", "function": {"name": "book"}}},
    ),
    ForwardedRow(
        "allowed-tools",
        {
            "tools": [TOOL],
            "tool_choice": {
                "type": "allowed_tools",
                "allowed_tools": {"mode": "auto", "tools": [{"type": "function", "function": {"name": "book"}}]},
            },
        },
        {"tools": [TOOL]},
    ),
    ForwardedRow(
        "json-schema",
        {"response_format": {"type": "json_schema", "json_schema": {"name": "s", "schema": {}}}},
        {"response_format": {"type": "json_schema", "json_schema": {"name": "s", "schema": {}}}},
    ),
    ForwardedRow(
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
    ),
    ForwardedRow(
        "a-whole-talk",
        {
            "messages": [
                {"role": "system", "content": "Help."},
                {"role": "developer", "content": [{"type": "text", "text": "Kindly."}]},
                {"role": "user", "content": "Book", "name": "amal"},
                {"role": "assistant", "content": None, "tool_calls": [tool_call("c1", "book", "{}")]},
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
    ),
    ForwardedRow("alias", {"model": "conform-alias"}, {"model": IDEMPOTENT_MODEL}),
    ForwardedRow("served-as", {"model": NON_IDEMPOTENT_MODEL}, {"model": "served-once"}),
    ForwardedRow(
        "escapes",
        {"messages": [{"role": "user", "content": '\u2028 " \\ \n é'}]},
        {"messages": [{"role": "user", "content": '\u2028 " \\ \n é'}]},
    ),
)
CASES: tuple[Case, ...] = (
    *(row.case() for row in ANSWER_ROWS),
    *(row.case() for row in FORWARDED_ROWS),
    Case(
        "sent/duplicate-field",
        "a field named twice, where two readers could each believe another one",
        b'{"model": "nobody", "messages": [{"role": "user", "content": "a"}], "model": "conform-safe"}',
        ExpectedResponse(),
        SUCCESS_SCRIPTS,
        ExpectedRequests(fields={"model": IDEMPOTENT_MODEL}),
    ),
    Case(
        "sent/no-client-key",
        "the client's key at a server",
        chat_request(),
        ExpectedResponse(),
        SUCCESS_SCRIPTS,
        ExpectedRequests(absent_headers=("authorization", "api-key", "cookie")),
        headers={"Authorization": "Bearer somebodys-key", "Cookie": "a=b"},
    ),
    Case(
        "sent/request-id",
        "an answer that cannot be found in the server's log",
        chat_request(),
        ExpectedResponse(),
        SUCCESS_SCRIPTS,
        ExpectedRequests(headers={"Request-Id": "*", "Request-Timeout-Ms": "*"}),
    ),
    Case(
        "sent/content-encoding-identity",
        "an encoding that is none",
        chat_request(),
        ExpectedResponse(),
        SUCCESS_SCRIPTS,
        ExpectedRequests(),
        headers={"Content-Encoding": "identity"},
    ),
    Case(
        "retries/500-then-good",
        "a question that is not tried again",
        chat_request(),
        ExpectedResponse(),
        (plain_response(500), *SUCCESS_SCRIPTS),
        ExpectedRequests(count=2),
    ),
    Case(
        "retries/500-then-good-stream",
        "the same in a stream, before its first event",
        chat_request(stream=True),
        ExpectedResponse(text="one two"),
        (plain_response(500), *SUCCESS_SCRIPTS),
        ExpectedRequests(count=2),
    ),
)
