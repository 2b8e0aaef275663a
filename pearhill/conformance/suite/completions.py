"""`/v1/completions`: text prompts, whole and streamed."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    DONE,
    GOOD,
    SAFE,
    SEEN,
    TEXT,
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


def ask(prompt: Any = "Hi", **more: Any) -> dict[str, Any]:
    return {"model": SAFE, "prompt": prompt, **more}


def bad(name: str, body: Any, param: str, code: str) -> Case:
    return Case(
        f"text/{name}",
        f"{param}: {code.replace('_', ' ')}",
        body,
        Expect(400, failing(code, param), usable=True),
        path=TEXT,
    )


def good(
    name: str, why: str, body: Any, expect: Expect, script: Any = GOOD, fields: Any = None, absent: tuple[str, ...] = ()
) -> Case:
    return Case(f"text/{name}", why, body, expect, script, Seen(fields=fields, absent=absent), path=TEXT)


PROBS = {"content": [{"token": "one ", "logprob": -0.5, "top_logprobs": [{"token": "one ", "logprob": -0.5}]}]}
USED = {"prompt_tokens": 9, "completion_tokens": 2, "total_tokens": 11}
CASES: tuple[Case, ...] = (
    good(
        "whole",
        "an answer in the wrong words",
        ask(),
        Expect(
            json={
                "object": "text_completion",
                "model": SAFE,
                "usage": USED,
                "choices": [{"index": 0, "text": "one two", "finish_reason": "stop", "logprobs": None}],
            },
            usable=True,
        ),
        fields={"messages": [{"role": "user", "content": "Hi"}], "stream": True},
        absent=("prompt",),
    ),
    good(
        "list-of-one",
        "a prompt in a list",
        ask(["Hi"]),
        Expect(json={"choices": [{"text": "one two"}]}),
        fields={"messages": [{"role": "user", "content": "Hi"}]},
    ),
    good(
        "stream",
        "a stream in chat's words",
        ask(stream=True),
        Expect(
            text="one two",
            events=(
                {"object": "text_completion", "choices": [{"index": 0, "text": "one ", "finish_reason": None}]},
                {"choices": [{"text": "two"}]},
                {"choices": [{"text": "", "finish_reason": "stop"}]},
                "[DONE]",
            ),
        ),
    ),
    good(
        "stream-usage",
        "the usage event, where it is asked for",
        ask(stream=True, stream_options={"include_usage": True}),
        Expect(events=({"usage": None}, {"usage": None}, {"usage": None}, {"choices": [], "usage": USED}, "[DONE]")),
    ),
    good(
        "echo",
        "a prompt that does not come back",
        ask(echo=True),
        Expect(json={"choices": [{"text": "Hione two"}]}),
        absent=("echo",),
    ),
    good("echo-stream", "the same in a stream", ask(echo=True, stream=True), Expect(text="Hione two")),
    good(
        "n",
        "several answers, mixed up",
        ask(n=2, best_of=2),
        Expect(json={"choices": [{"index": 0, "text": "a"}, {"index": 1, "text": "b"}]}),
        (stream(event(delta(index=1, content="b")), event(delta("stop", content="a")), DONE),),
        absent=("best_of",),
    ),
    good(
        "logprobs",
        "log probabilities in chat's form",
        ask(logprobs=1),
        Expect(
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
        (stream(event(delta(content="one ", logprobs=PROBS)), event(delta("stop")), DONE),),
        fields={"logprobs": True, "top_logprobs": 1},
    ),
    good("unknown-fields", "a field that is lost on its way", ask(x_own=[1]), Expect(), fields={"x_own": [1]}),
    good(
        "refusal",
        "a refusal, which is all the text there is",
        ask(),
        Expect(json={"choices": [{"text": "No."}]}),
        (stream(event(delta(refusal="No.")), event(delta("stop")), event(USAGE), DONE),),
    ),
    Case(
        "text/broken",
        "a break that passes for an end",
        {"model": "conform-once", "prompt": "Hi", "stream": True},
        Expect(ends="broken", events=({"choices": [{"text": "one "}]}, failing("stream_broken"))),
        ((head(), chunk(event(WORDS[0])), SEEN),),
        Seen(),
        path=TEXT,
    ),
    bad("tokens", ask([1, 2]), "prompt[0]", "invalid_type"),
    bad("two-prompts", ask(["a", "b"]), "prompt", "unsupported_value"),
    bad("suffix", ask(suffix="x"), "suffix", "unsupported_parameter"),
    bad("best-of", ask(best_of=3), "best_of", "unsupported_value"),
    bad("logprobs-many", ask(logprobs=6), "logprobs", "invalid_value"),
    bad("stream-options", ask(stream_options={}), "stream_options", "invalid_value"),
)
