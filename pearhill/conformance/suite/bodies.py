"""What clients may not send: a plain 4xx that names the place, and a connection that goes on."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import CHAT, MODELS, ONCE, RESPONSES, SAFE, TEXT, Case, Expect, failing, say

USER = {"role": "user", "content": "Hi"}
TOOL = {"type": "function", "function": {"name": "book", "parameters": {"type": "object"}}}


def parts(*content: Any) -> dict[str, Any]:
    return say({"role": "user", "content": list(content)})


# name, body, param, code
BAD: tuple[tuple[str, Any, str | None, str], ...] = (
    ("no-json", b"{", None, "invalid_json"),
    ("empty-body", b"", None, "invalid_json"),
    ("array", b"[]", None, "invalid_type"),
    ("null", b"null", None, "invalid_type"),
    ("trailing-comma", b'{"model": "conform-safe",}', None, "invalid_json"),
    (
        "two-values",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}]} {}',
        None,
        "invalid_json",
    ),
    (
        "nan",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "temperature": NaN}',
        None,
        "invalid_json",
    ),
    (
        "nan-in-unknown-field",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "x": NaN}',
        None,
        "invalid_json",
    ),
    (
        "infinity",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], "top_p": Infinity}',
        None,
        "invalid_json",
    ),
    (
        "bad-utf-8",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "\xff"}]}',
        None,
        "invalid_json",
    ),
    (
        "bad-utf-8-in-unknown-field",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "a"}], ' b'"x": "\xc3"}',
        None,
        "invalid_json",
    ),
    ("utf-16", '{"model": "conform-safe"}'.encode("utf-16"), None, "invalid_json"),
    ("byte-order-mark", b'\xef\xbb\xbf{"model": "conform-safe"}', None, "invalid_json"),
    (
        "lone-surrogate",
        b'{"model": "conform-safe", "messages": [{"role": "user", "content": "\\ud800"}]}',
        None,
        "invalid_json",
    ),
    ("deep-nesting", b'{"x": ' + b"[" * 50_000 + b"]" * 50_000 + b"}", None, "invalid_json"),
    (
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
    ("no-model", {"messages": [USER]}, "model", "missing_required_parameter"),
    ("empty-model", say(model=""), "model", "invalid_value"),
    ("model-number", say(model=7), "model", "invalid_type"),
    ("no-messages", {"model": SAFE}, "messages", "missing_required_parameter"),
    ("empty-messages", {"model": SAFE, "messages": []}, "messages", "invalid_value"),
    ("messages-text", {"model": SAFE, "messages": "Hi"}, "messages", "invalid_type"),
    ("message-text", say("Hi"), "messages[0]", "invalid_type"),
    ("no-role", say({"content": "Hi"}), "messages[0].role", "missing_required_parameter"),
    ("unknown-role", say(USER, {"role": "robot", "content": "Hi"}), "messages[1].role", "invalid_value"),
    ("role-number", say({"role": 1, "content": "Hi"}), "messages[0].role", "invalid_type"),
    ("no-content", say({"role": "user"}), "messages[0].content", "missing_required_parameter"),
    ("content-number", say({"role": "user", "content": 5}), "messages[0].content", "invalid_type"),
    ("content-null", say({"role": "user", "content": None}), "messages[0].content", "invalid_type"),
    ("empty-parts", parts(), "messages[0].content", "invalid_value"),
    (
        "unknown-part",
        say(USER, {"role": "user", "content": [{"type": "smell", "smell": "rose"}]}),
        "messages[1].content[0].type",
        "invalid_value",
    ),
    ("part-without-type", parts({"text": "Hi"}), "messages[0].content[0].type", "missing_required_parameter"),
    ("text-part-without-text", parts({"type": "text"}), "messages[0].content[0].text", "missing_required_parameter"),
    (
        "image-without-url",
        parts({"type": "image_url", "image_url": {}}),
        "messages[0].content[0].image_url.url",
        "missing_required_parameter",
    ),
    (
        "image-detail",
        parts({"type": "image_url", "image_url": {"url": "data:,", "detail": "fine"}}),
        "messages[0].content[0].image_url.detail",
        "invalid_value",
    ),
    (
        "audio-format",
        parts({"type": "input_audio", "input_audio": {"data": "AA==", "format": "midi"}}),
        "messages[0].content[0].input_audio.format",
        "invalid_value",
    ),
    (
        "file-without-file",
        parts({"type": "file", "file": {"filename": "a.pdf"}}),
        "messages[0].content[0].file",
        "missing_required_parameter",
    ),
    (
        "image-in-system",
        say({"role": "system", "content": [{"type": "image_url", "image_url": {"url": "data:,"}}]}),
        "messages[0].content[0].type",
        "invalid_value",
    ),
    ("assistant-with-nothing", say(USER, {"role": "assistant"}), "messages[1].content", "missing_required_parameter"),
    (
        "tool-without-id",
        say(USER, {"role": "tool", "content": "7"}),
        "messages[1].tool_call_id",
        "missing_required_parameter",
    ),
    (
        "tool-call-without-function",
        say(USER, {"role": "assistant", "tool_calls": [{"id": "a", "type": "function"}]}),
        "messages[1].tool_calls[0].function",
        "missing_required_parameter",
    ),
    (
        "arguments-object",
        say(
            USER,
            {
                "role": "assistant",
                "tool_calls": [{"id": "a", "type": "function", "function": {"name": "f", "arguments": {}}}],
            },
        ),
        "messages[1].tool_calls[0].function.arguments",
        "invalid_type",
    ),
    ("temperature-high", say(temperature=2.1), "temperature", "invalid_value"),
    ("temperature-text", say(temperature="hot"), "temperature", "invalid_type"),
    ("top-p", say(top_p=-0.1), "top_p", "invalid_value"),
    ("penalty", say(presence_penalty=3), "presence_penalty", "invalid_value"),
    ("n-zero", say(n=0), "n", "invalid_value"),
    ("n-fraction", say(n=1.5), "n", "invalid_type"),
    ("n-true", say(n=True), "n", "invalid_type"),
    ("max-tokens-zero", say(max_tokens=0), "max_tokens", "invalid_value"),
    ("max-tokens-huge", say(max_completion_tokens=10**30), "max_completion_tokens", "invalid_value"),
    ("max-tokens-over-the-model", say(model=ONCE, max_tokens=1001), "max_tokens", "invalid_value"),
    ("prompt-over-the-model", say({"role": "user", "content": "x" * 200_100}), "messages", "context_length_exceeded"),
    ("stream-text", say(stream="yes"), "stream", "invalid_type"),
    ("stream-options-without-stream", say(stream_options={"include_usage": True}), "stream_options", "invalid_value"),
    (
        "stream-options-type",
        say(stream=True, stream_options={"include_usage": 1}),
        "stream_options.include_usage",
        "invalid_type",
    ),
    ("five-stops", say(stop=list("abcde")), "stop", "invalid_value"),
    ("stop-number", say(stop=[1]), "stop[0]", "invalid_type"),
    ("logit-bias", say(logit_bias={"50256": 101}), None, "invalid_value"),
    ("top-logprobs-alone", say(top_logprobs=2), "top_logprobs", "invalid_value"),
    ("top-logprobs-many", say(logprobs=True, top_logprobs=21), "top_logprobs", "invalid_value"),
    ("response-format", say(response_format={"type": "xml"}), "response_format.type", "invalid_value"),
    (
        "schema-without-name",
        say(response_format={"type": "json_schema", "json_schema": {}}),
        "response_format.json_schema.name",
        "missing_required_parameter",
    ),
    ("tool-type", say(tools=[{"type": "hammer"}]), "tools[0].type", "invalid_value"),
    (
        "tool-name",
        say(tools=[{"type": "function", "function": {"name": "a b"}}]),
        "tools[0].function.name",
        "invalid_value",
    ),
    ("choice-without-tools", say(tool_choice="auto"), "tool_choice", "invalid_value"),
    (
        "choice-of-no-tool",
        say(tools=[TOOL], tool_choice={"type": "function", "function": {"name": "other"}}),
        "tool_choice.function.name",
        "invalid_value",
    ),
    ("choice-word", say(tools=[TOOL], tool_choice="maybe"), "tool_choice", "invalid_value"),
    ("parallel-without-tools", say(parallel_tool_calls=True), "parallel_tool_calls", "invalid_value"),
    ("audio-without-voice", say(modalities=["text", "audio"]), "audio", "missing_required_parameter"),
    ("store", say(store=True), "store", "unsupported_value"),
    ("metadata-number", say(metadata={"a": 1}), None, "invalid_type"),
    ("metadata-many", say(metadata={str(k): "" for k in range(17)}), "metadata", "invalid_value"),
    ("class-unknown", say(metadata={"class": "unheard-of"}), "metadata.class", "invalid_value"),
    ("reasoning-effort", say(reasoning_effort="heroic"), "reasoning_effort", "invalid_value"),
)


def _error(status: int, code: str, param: str | None = None, **more: Any) -> Expect:
    return Expect(status, failing(code, param, "invalid_request_error"), usable=True, **more)


GOOD_BODY = say()
OTHER: tuple[Case, ...] = (
    Case(
        "bodies/content-encoding",
        "a compressed body that would be read as noise",
        GOOD_BODY,
        _error(415, "unsupported_encoding"),
        headers={"Content-Encoding": "gzip"},
    ),
    Case(
        "bodies/too-large",
        "a body past the limit that is taken in whole",
        b"x" * 300_000,
        Expect(413, failing("bad_http"), usable=False),
        alone=True,
    ),
    Case(
        "bodies/timeout-header",
        "a deadline that cannot be read",
        GOOD_BODY,
        _error(400, "invalid_value"),
        headers={"X-Request-Timeout-Ms": "soon"},
    ),
    Case(
        "bodies/idempotency-key-long",
        "a key that fills the store",
        GOOD_BODY,
        _error(400, "invalid_value"),
        headers={"Idempotency-Key": "k" * 257},
    ),
    Case(
        "bodies/unknown-model",
        "a model that nobody has declared",
        say(model="nobody"),
        _error(404, "model_not_found", "model"),
    ),
    Case(
        "bodies/unknown-url",
        "a path that the API does not have",
        GOOD_BODY,
        _error(404, "unknown_url"),
        path="/v1/embeddings",
        alone=True,
    ),
    Case(
        "bodies/method",
        "a call by the wrong method",
        GOOD_BODY,
        _error(405, "unknown_url", headers={"Allow": "POST"}),
        path=CHAT,
        method="PUT",
    ),
    Case("bodies/get-chat", "a chat asked for by GET", None, _error(405, "unknown_url"), method="GET"),
    Case(
        "bodies/text-no-prompt",
        "the older endpoint's required field",
        {"model": SAFE},
        _error(400, "missing_required_parameter", "prompt"),
        path=TEXT,
    ),
    Case(
        "bodies/responses-no-input",
        "the newer endpoint's required field",
        {"model": SAFE},
        _error(400, "missing_required_parameter", "input"),
        path=RESPONSES,
    ),
    Case(
        "models/list",
        "clients that ask for the models first",
        None,
        Expect(
            json={"object": "list", "data": [{"id": SAFE, "object": "model"}, {"id": ONCE, "object": "model"}]},
            usable=True,
        ),
        path=MODELS,
        method="GET",
    ),
    Case(
        "models/one",
        "a look at one model",
        None,
        Expect(json={"id": SAFE, "object": "model", "owned_by": "pearhill"}),
        path=f"{MODELS}/{SAFE}",
        method="GET",
    ),
    Case(
        "models/alias",
        "an alias, which stands for its model",
        None,
        Expect(json={"id": SAFE}),
        path=f"{MODELS}/conform-alias",
        method="GET",
    ),
    Case(
        "models/escaped",
        "a name that comes percent-encoded",
        None,
        Expect(json={"id": SAFE}),
        path=f"{MODELS}/conform%2Dsafe",
        method="GET",
    ),
    Case(
        "models/none",
        "a model that nobody has declared",
        None,
        _error(404, "model_not_found", "model"),
        path=f"{MODELS}/nobody",
        method="GET",
    ),
    Case("models/post", "a model looked at by POST", {}, _error(405, "unknown_url"), path=MODELS),
)
CASES: tuple[Case, ...] = (
    *(
        Case(f"bodies/{name}", f"{param or 'a body'} that is {code.replace('_', ' ')}", body, _error(400, code, param))
        for name, body, param, code in BAD
    ),
    *OTHER,
)
