"""Cases of `/v1/completions`: text prompts with complete and streamed answers, and rejected requests."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import COMPLETIONS_PATH, IDEMPOTENT_MODEL, Case, ExpectedRequests, ExpectedResponse
from pearhill.conformance.payloads import (
    CHAT_CHUNKS,
    DONE_EVENT,
    USAGE_CHUNK,
    chat_chunk,
    error_body,
    sse_event,
)
from pearhill.conformance.scripts import WAIT_FOR_CLIENT, event_stream, http_chunk, response_head
from pearhill.conformance.suite.translated import TranslatedEndpoint

ENDPOINT = TranslatedEndpoint("text", COMPLETIONS_PATH)


def completion_request(prompt: Any = "Hi", **fields: Any) -> dict[str, Any]:
    """Returns the body of a request to `/v1/completions`."""
    return {"model": IDEMPOTENT_MODEL, "prompt": prompt, **fields}


LOGPROBS = {"content": [{"token": "one ", "logprob": -0.5, "top_logprobs": [{"token": "one ", "logprob": -0.5}]}]}
USAGE = {"prompt_tokens": 9, "completion_tokens": 2, "total_tokens": 11}
CASES: tuple[Case, ...] = (
    ENDPOINT.answered_case(
        "whole",
        "an answer in the wrong words",
        completion_request(),
        ExpectedResponse(
            json={
                "object": "text_completion",
                "model": IDEMPOTENT_MODEL,
                "usage": USAGE,
                "choices": [{"index": 0, "text": "one two", "finish_reason": "stop", "logprobs": None}],
            },
            connection_usable=True,
        ),
        fields={"messages": [{"role": "user", "content": "Hi"}], "stream": True},
        absent=("prompt",),
    ),
    ENDPOINT.answered_case(
        "list-of-one",
        "a prompt in a list",
        completion_request(["Hi"]),
        ExpectedResponse(json={"choices": [{"text": "one two"}]}),
        fields={"messages": [{"role": "user", "content": "Hi"}]},
    ),
    ENDPOINT.answered_case(
        "stream",
        "a stream in chat's words",
        completion_request(stream=True),
        ExpectedResponse(
            text="one two",
            events=(
                {"object": "text_completion", "choices": [{"index": 0, "text": "one ", "finish_reason": None}]},
                {"choices": [{"text": "two"}]},
                {"choices": [{"text": "", "finish_reason": "stop"}]},
                "[DONE]",
            ),
        ),
    ),
    ENDPOINT.answered_case(
        "stream-usage",
        "the usage event, where it is asked for",
        completion_request(stream=True, stream_options={"include_usage": True}),
        ExpectedResponse(
            events=({"usage": None}, {"usage": None}, {"usage": None}, {"choices": [], "usage": USAGE}, "[DONE]")
        ),
    ),
    ENDPOINT.answered_case(
        "echo",
        "a prompt that does not come back",
        completion_request(echo=True),
        ExpectedResponse(json={"choices": [{"text": "Hione two"}]}),
        absent=("echo",),
    ),
    ENDPOINT.answered_case(
        "echo-stream",
        "the same in a stream",
        completion_request(echo=True, stream=True),
        ExpectedResponse(text="Hione two"),
    ),
    ENDPOINT.answered_case(
        "n",
        "several answers, mixed up",
        completion_request(n=2, best_of=2),
        ExpectedResponse(json={"choices": [{"index": 0, "text": "a"}, {"index": 1, "text": "b"}]}),
        (
            event_stream(
                sse_event(chat_chunk(index=1, content="b")), sse_event(chat_chunk("stop", content="a")), DONE_EVENT
            ),
        ),
        absent=("best_of",),
    ),
    ENDPOINT.answered_case(
        "logprobs",
        "log probabilities in chat's form",
        completion_request(logprobs=1),
        ExpectedResponse(
            json={
                "choices": [
                    {
                        "logprobs": {
                            "tokens": ["one "],
                            "token_logprobs": [-0.5],
                            "top_logprobs": [{"one ": -0.5}],
                            "text_offset": [0],
                        }
                    }
                ]
            }
        ),
        (
            event_stream(
                sse_event(chat_chunk(content="one ", logprobs=LOGPROBS)), sse_event(chat_chunk("stop")), DONE_EVENT
            ),
        ),
        fields={"logprobs": True, "top_logprobs": 1},
    ),
    ENDPOINT.answered_case(
        "unknown-fields",
        "a field that is lost on its way",
        completion_request(x_own=[1]),
        ExpectedResponse(),
        fields={"x_own": [1]},
    ),
    ENDPOINT.answered_case(
        "refusal",
        "a refusal, which is all the text there is",
        completion_request(),
        ExpectedResponse(json={"choices": [{"text": "No."}]}),
        (
            event_stream(
                sse_event(chat_chunk(refusal="No.")), sse_event(chat_chunk("stop")), sse_event(USAGE_CHUNK), DONE_EVENT
            ),
        ),
    ),
    Case(
        "text/broken",
        "a break that passes for an end",
        {"model": "conform-once", "prompt": "Hi", "stream": True},
        ExpectedResponse(truncated=True, events=({"choices": [{"text": "one "}]}, error_body("stream_broken"))),
        ((response_head(), http_chunk(sse_event(CHAT_CHUNKS[0])), WAIT_FOR_CLIENT),),
        ExpectedRequests(),
        path=COMPLETIONS_PATH,
    ),
    ENDPOINT.rejected_case("tokens", completion_request([1, 2]), "prompt[0]", "invalid_type"),
    ENDPOINT.rejected_case("two-prompts", completion_request(["a", "b"]), "prompt", "unsupported_value"),
    ENDPOINT.rejected_case("suffix", completion_request(suffix="x"), "suffix", "unsupported_parameter"),
    ENDPOINT.rejected_case("best-of", completion_request(best_of=3), "best_of", "unsupported_value"),
    ENDPOINT.rejected_case("logprobs-many", completion_request(logprobs=6), "logprobs", "invalid_value"),
    ENDPOINT.rejected_case("stream-options", completion_request(stream_options={}), "stream_options", "invalid_value"),
)
