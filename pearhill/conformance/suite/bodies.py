"""Cases of rejected requests, which get a 4xx response that names the parameter, and cases of the list of models.

The connection must stay usable after a rejection, except after a body above the size limit.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from pearhill.conformance.case import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    IDEMPOTENT_MODEL,
    MODELS_PATH,
    NON_IDEMPOTENT_MODEL,
    RESPONSES_PATH,
    Case,
    ExpectedResponse,
)
from pearhill.conformance.payloads import chat_request, error_body

USER_MESSAGE = {"role": "user", "content": "Hi"}
TOOL = {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}}}


def rejection(status: int, code: str, param: str | None = None, **more: Any) -> ExpectedResponse:
    """Returns the expected `invalid_request_error`. `more` are further fields of ExpectedResponse."""
    return ExpectedResponse(status, error_body(code, param, "invalid_request_error"), connection_usable=True, **more)


class RejectedRow(NamedTuple):
    """A case of a chat request that is rejected with status 400."""

    name: str
    body: Any  # bytes, which are sent as they are, or a value that is sent as JSON
    param: str | None  # of the error object: the path of the invalid parameter
    code: str  # of the error object

    def case(self) -> Case:
        """Returns the row as a case of the group "bodies"."""
        return Case(
            f"bodies/{self.name}",
            f"{self.param or 'a body'} that is {self.code.replace('_', ' ')}",
            self.body,
            rejection(400, self.code, self.param),
        )


def model_case(name: str, guards_against: str, model: str, expected: ExpectedResponse) -> Case:
    """Returns a case of a request for a single model. `model` is inserted into the path without further encoding."""
    return Case(f"models/{name}", guards_against, None, expected, path=f"{MODELS_PATH}/{model}", method="GET")


def request_with_parts(*content: Any) -> dict[str, Any]:
    """Returns the body of a chat request with one message that has these content parts."""
    return chat_request({"role": "user", "content": list(content)})


REJECTED_ROWS: tuple[RejectedRow, ...] = (
    RejectedRow("no-json", b"{", None, "invalid_json"),
    RejectedRow("empty-body", b"", None, "invalid_json"),
    RejectedRow("array", b"[]", None, "invalid_type"),
    RejectedRow("null", b"null", None, "invalid_type"),
    RejectedRow("trailing-comma", b'{"model": "conform-safe",}', None, "invalid_json"),
    RejectedRow(
        "two-values",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}]} {}',
        None,
        "invalid_json",
    ),
    RejectedRow(
        "nan",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "temperature": NaN}',
        None,
        "invalid_json",
    ),
    RejectedRow(
        "nan-in-unknown-field",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "x": NaN}',
        None,
        "invalid_json",
    ),
    RejectedRow(
        "infinity",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "top_p": Infinity}',
        None,
        "invalid_json",
    ),
    RejectedRow(
        "bad-utf-8",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "\xff"}]}',
        None,
        "invalid_json",
    ),
    RejectedRow(
        "bad-utf-8-in-unknown-field",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], ' b'"x": "\xc3"}',
        None,
        "invalid_json",
    ),
    RejectedRow("utf-16", '{"model": "conform-safe"}'.encode("utf-16"), None, "invalid_json"),
    RejectedRow("byte-order-mark", b'\xef\xbb\xbf{"model": "conform-safe"}', None, "invalid_json"),
    RejectedRow(
        "lone-surrogate",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "\\ud800"}]}',
        None,
        "invalid_json",
    ),
    RejectedRow("deep-nesting", b'{"x": ' + b"[" * 50_000 + b"]" * 50_000 + b"}", None, "invalid_json"),
    RejectedRow(
        "deep-nesting-in-tools",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "tools": '
        b'[{"type": "function", "function": {"name": "f", "parameters": '
        + b'{"a": ' * 20_000
        + b"1"
        + b"}" * 20_003
        + b"]}",
        None,
        "invalid_json",
    ),
    RejectedRow("no-model", {"messages": [USER_MESSAGE]}, "model", "missing_required_parameter"),
    RejectedRow("empty-model", chat_request(model=""), "model", "invalid_value"),
    RejectedRow("model-number", chat_request(model=7), "model", "invalid_type"),
    RejectedRow("no-messages", {"model": IDEMPOTENT_MODEL}, "messages", "missing_required_parameter"),
    RejectedRow("empty-messages", {"model": IDEMPOTENT_MODEL, "messages": []}, "messages", "invalid_value"),
    RejectedRow("messages-text", {"model": IDEMPOTENT_MODEL, "messages": "Hi"}, "messages", "invalid_type"),
    RejectedRow("message-text", chat_request("Hi"), "messages[0]", "invalid_type"),
    RejectedRow("no-role", chat_request({"content": "Hi"}), "messages[0].role", "missing_required_parameter"),
    RejectedRow(
        "unknown-role",
        chat_request(USER_MESSAGE, {"role": "robot", "content": "Hi"}),
        "messages[1].role",
        "invalid_value",
    ),
    RejectedRow("role-number", chat_request({"role": 1, "content": "Hi"}), "messages[0].role", "invalid_type"),
    RejectedRow("no-content", chat_request({"role": "user"}), "messages[0].content", "missing_required_parameter"),
    RejectedRow("content-number", chat_request({"role": "user", "content": 5}), "messages[0].content", "invalid_type"),
    RejectedRow("content-null", chat_request({"role": "user", "content": None}), "messages[0].content", "invalid_type"),
    RejectedRow("empty-parts", request_with_parts(), "messages[0].content", "invalid_value"),
    RejectedRow(
        "unknown-part",
        chat_request(USER_MESSAGE, {"role": "user", "content": [{"type": "smell", "smell": "rose"}]}),
        "messages[1].content[0].type",
        "invalid_value",
    ),
    RejectedRow(
        "part-without-type",
        request_with_parts({"text": "Hi"}),
        "messages[0].content[0].type",
        "missing_required_parameter",
    ),
    RejectedRow(
        "text-part-without-text",
        request_with_parts({"type": "text"}),
        "messages[0].content[0].text",
        "missing_required_parameter",
    ),
    RejectedRow(
        "image-without-url",
        request_with_parts({"type": "image_url", "image_url": {}}),
        "messages[0].content[0].image_url.url",
        "missing_required_parameter",
    ),
    RejectedRow(
        "image-detail",
        request_with_parts({"type": "image_url", "image_url": {"url": "data:,", "detail": "fine"}}),
        "messages[0].content[0].image_url.detail",
        "invalid_value",
    ),
    RejectedRow(
        "audio-format",
        request_with_parts({"type": "input_audio", "input_audio": {"data": "AA==", "format": "midi"}}),
        "messages[0].content[0].input_audio.format",
        "invalid_value",
    ),
    RejectedRow(
        "file-without-file",
        request_with_parts({"type": "file", "file": {"filename": "a.pdf"}}),
        "messages[0].content[0].file",
        "missing_required_parameter",
    ),
    RejectedRow(
        "image-in-system",
        chat_request({"role": "system", "content": [{"type": "image_url", "image_url": {"url": "data:,"}}]}),
        "messages[0].content[0].type",
        "invalid_value",
    ),
    RejectedRow(
        "assistant-with-nothing",
        chat_request(USER_MESSAGE, {"role": "assistant"}),
        "messages[1].content",
        "missing_required_parameter",
    ),
    RejectedRow(
        "tool-without-id",
        chat_request(USER_MESSAGE, {"role": "tool", "content": "7"}),
        "messages[1].tool_call_id",
        "missing_required_parameter",
    ),
    RejectedRow(
        "tool-call-without-function",
        chat_request(USER_MESSAGE, {"role": "assistant", "tool_calls": [{"id": "a", "type": "function"}]}),
        "messages[1].tool_calls[0].function",
        "missing_required_parameter",
    ),
    RejectedRow(
        "arguments-object",
        chat_request(
            USER_MESSAGE,
            {
                "role": "assistant",
                "tool_calls": [{"id": "a", "type": "function", "function": {"name": "f", "arguments": {}}}],
            },
        ),
        "messages[1].tool_calls[0].function.arguments",
        "invalid_type",
    ),
    RejectedRow("temperature-high", chat_request(temperature=2.1), "temperature", "invalid_value"),
    RejectedRow("temperature-text", chat_request(temperature="hot"), "temperature", "invalid_type"),
    RejectedRow("top-p", chat_request(top_p=-0.1), "top_p", "invalid_value"),
    RejectedRow("penalty", chat_request(presence_penalty=3), "presence_penalty", "invalid_value"),
    RejectedRow("n-zero", chat_request(n=0), "n", "invalid_value"),
    RejectedRow("n-fraction", chat_request(n=1.5), "n", "invalid_type"),
    RejectedRow("n-true", chat_request(n=True), "n", "invalid_type"),
    RejectedRow("max-tokens-zero", chat_request(max_tokens=0), "max_tokens", "invalid_value"),
    RejectedRow(
        "max-tokens-huge", chat_request(max_completion_tokens=10**30), "max_completion_tokens", "invalid_value"
    ),
    RejectedRow(
        "max-tokens-over-the-model",
        chat_request(model=NON_IDEMPOTENT_MODEL, max_tokens=1001),
        "max_tokens",
        "invalid_value",
    ),
    RejectedRow(
        "prompt-over-the-model",
        chat_request({"role": "user", "content": "x" * 200_100}),
        "messages",
        "context_length_exceeded",
    ),
    RejectedRow("stream-text", chat_request(stream="yes"), "stream", "invalid_type"),
    RejectedRow(
        "stream-options-without-stream",
        chat_request(stream_options={"include_usage": True}),
        "stream_options",
        "invalid_value",
    ),
    RejectedRow(
        "stream-options-type",
        chat_request(stream=True, stream_options={"include_usage": 1}),
        "stream_options.include_usage",
        "invalid_type",
    ),
    RejectedRow("five-stops", chat_request(stop=list("abcde")), "stop", "invalid_value"),
    RejectedRow("stop-number", chat_request(stop=[1]), "stop[0]", "invalid_type"),
    RejectedRow("logit-bias", chat_request(logit_bias={"50256": 101}), None, "invalid_value"),
    RejectedRow("top-logprobs-alone", chat_request(top_logprobs=2), "top_logprobs", "invalid_value"),
    RejectedRow("top-logprobs-many", chat_request(logprobs=True, top_logprobs=21), "top_logprobs", "invalid_value"),
    RejectedRow(
        "response-format", chat_request(response_format={"type": "xml"}), "response_format.type", "invalid_value"
    ),
    RejectedRow(
        "schema-without-name",
        chat_request(response_format={"type": "json_schema", "json_schema": {}}),
        "response_format.json_schema.name",
        "missing_required_parameter",
    ),
    RejectedRow("tool-type", chat_request(tools=[{"type": "hammer"}]), "tools[0].type", "invalid_value"),
    RejectedRow(
        "tool-name",
        chat_request(tools=[{"type": "function", "function": {"name": "a b"}}]),
        "tools[0].function.name",
        "invalid_value",
    ),
    RejectedRow("choice-without-tools", chat_request(tool_choice="auto"), "tool_choice", "invalid_value"),
    RejectedRow(
        "choice-of-no-tool",
        chat_request(tools=[TOOL], tool_choice={"type": "function", "function": {"name": "other"}}),
        "tool_choice.function.name",
        "invalid_value",
    ),
    RejectedRow("choice-word", chat_request(tools=[TOOL], tool_choice="maybe"), "tool_choice", "invalid_value"),
    RejectedRow(
        "parallel-without-tools", chat_request(parallel_tool_calls=True), "parallel_tool_calls", "invalid_value"
    ),
    RejectedRow(
        "audio-without-voice", chat_request(modalities=["text", "audio"]), "audio", "missing_required_parameter"
    ),
    RejectedRow("store", chat_request(store=True), "store", "unsupported_value"),
    RejectedRow("metadata-number", chat_request(metadata={"a": 1}), None, "invalid_type"),
    RejectedRow("metadata-many", chat_request(metadata={str(k): "" for k in range(17)}), "metadata", "invalid_value"),
    RejectedRow("class-unknown", chat_request(metadata={"class": "unheard-of"}), "metadata.class", "invalid_value"),
    RejectedRow("reasoning-effort", chat_request(reasoning_effort="heroic"), "reasoning_effort", "invalid_value"),
)


CHAT_BODY = chat_request()
OTHER_CASES: tuple[Case, ...] = (
    Case(
        "bodies/content-encoding",
        "a compressed body that would be read as noise",
        CHAT_BODY,
        rejection(415, "unsupported_encoding"),
        headers={"Content-Encoding": "gzip"},
    ),
    Case(
        "bodies/too-large",
        "a body past the limit that is taken in whole",
        b"x" * 300_000,
        ExpectedResponse(413, error_body("bad_http"), connection_usable=False),
        standalone_only=True,
    ),
    Case(
        "bodies/timeout-header",
        "a deadline that cannot be read",
        CHAT_BODY,
        rejection(400, "invalid_value"),
        headers={"X-Request-Timeout-Ms": "soon"},
    ),
    Case(
        "bodies/idempotency-key-long",
        "a key that fills the store",
        CHAT_BODY,
        rejection(400, "invalid_value"),
        headers={"Idempotency-Key": "k" * 257},
    ),
    Case(
        "bodies/unknown-model",
        "a model that nobody has declared",
        chat_request(model="nobody"),
        rejection(404, "model_not_found", "model"),
    ),
    Case(
        "bodies/unknown-url",
        "a path that the API does not have",
        CHAT_BODY,
        rejection(404, "unknown_url"),
        path="/v1/embeddings",
        standalone_only=True,
    ),
    Case(
        "bodies/method",
        "a call by the wrong method",
        CHAT_BODY,
        rejection(405, "unknown_url", headers={"Allow": "POST"}),
        path=CHAT_PATH,
        method="PUT",
    ),
    Case("bodies/get-chat", "a chat asked for by GET", None, rejection(405, "unknown_url"), method="GET"),
    Case(
        "bodies/text-no-prompt",
        "the older endpoint's required field",
        {"model": IDEMPOTENT_MODEL},
        rejection(400, "missing_required_parameter", "prompt"),
        path=COMPLETIONS_PATH,
    ),
    Case(
        "bodies/responses-no-input",
        "the newer endpoint's required field",
        {"model": IDEMPOTENT_MODEL},
        rejection(400, "missing_required_parameter", "input"),
        path=RESPONSES_PATH,
    ),
    Case(
        "models/list",
        "clients that ask for the models first",
        None,
        ExpectedResponse(
            json={
                "object": "list",
                "data": [{"id": IDEMPOTENT_MODEL, "object": "model"}, {"id": NON_IDEMPOTENT_MODEL, "object": "model"}],
            },
            connection_usable=True,
        ),
        path=MODELS_PATH,
        method="GET",
    ),
    model_case(
        "one",
        "a look at one model",
        IDEMPOTENT_MODEL,
        ExpectedResponse(json={"id": IDEMPOTENT_MODEL, "object": "model", "owned_by": "pearhill"}),
    ),
    model_case(
        "alias",
        "an alias, which stands for its model",
        "conform-alias",
        ExpectedResponse(json={"id": IDEMPOTENT_MODEL}),
    ),
    model_case(
        "escaped",
        "a name that comes percent-encoded",
        "conform%2Dsafe",
        ExpectedResponse(json={"id": IDEMPOTENT_MODEL}),
    ),
    model_case("none", "a model that nobody has declared", "nobody", rejection(404, "model_not_found", "model")),
    Case("models/post", "a model looked at by POST", {}, rejection(405, "unknown_url"), path=MODELS_PATH),
)
CASES: tuple[Case, ...] = (*(row.case() for row in REJECTED_ROWS), *OTHER_CASES)
