"""Between the endpoints' words: requests become chat's, since that is what all servers speak.

They differ in words, never in what the core does: whatever the endpoint, a server reads the same chat request, and
its stream is checked, passed on, given up and kept for repeats in the one same way.
"""

from __future__ import annotations

from typing import Any

from pearhill.chat.schema import items
from pearhill.chat.schema import responses as r
from pearhill.chat.schema.completions import CompletionRequest

# Fields with another name, another form or no meaning in chat's words. All others go on unchanged.
_OF_COMPLETIONS = ("prompt", "echo", "suffix", "best_of", "logprobs")
_OF_RESPONSES = (
    "input",
    "instructions",
    "max_output_tokens",
    "text",
    "reasoning",
    "include",
    "truncation",
    "store",
    "background",
    "previous_response_id",
    "conversation",
    "prompt",
    "tools",
    "tool_choice",
    "top_logprobs",
    "stream_options",
)


def completion_to_chat(asked: CompletionRequest, fields: dict[str, Any]) -> dict[str, Any]:
    chat = {name: value for name, value in fields.items() if name not in _OF_COMPLETIONS}
    chat["messages"] = [{"role": "user", "content": asked.text}]
    if asked.logprobs is not None:
        chat |= {"logprobs": True, "top_logprobs": asked.logprobs}
    return chat


def legacy_logprobs(told: dict[str, Any] | None, offset: int) -> dict[str, list[Any]] | None:
    """Chat's log probabilities in the older form: four lists of the same length."""
    entries = (told or {}).get("content") or []
    if not entries:
        return None
    offsets = []
    for entry in entries:
        offsets.append(offset)
        offset += len(entry["token"])
    return {
        "tokens": [entry["token"] for entry in entries],
        "token_logprobs": [e.get("logprob") for e in entries],
        "top_logprobs": [{top["token"]: top["logprob"] for top in e.get("top_logprobs") or ()} for e in entries],
        "text_offset": offsets,
    }


def _part(part: items.Part) -> dict[str, Any]:
    match part:
        case items.InputText(text) | items.OutputText(text):
            return {"type": "text", "text": text}
        case items.OutputRefusal(refusal):
            return {"type": "refusal", "refusal": refusal}
        case items.InputImage(url, _, detail):
            return {"type": "image_url", "image_url": {"url": url, "detail": detail}}
        case items.InputFile(file_id, data, name):
            told = {"file_id": file_id, "file_data": data, "filename": name}
            return {"type": "file", "file": {k: v for k, v in told.items() if v is not None}}
        case items.InputAudio(audio):
            return {"type": "input_audio", "input_audio": audio}


def _content(content: Any) -> str | list[dict[str, Any]]:
    return content if isinstance(content, str) else [_part(part) for part in content or ()]


def items_to_messages(asked: r.ResponseRequest) -> list[dict[str, Any]]:
    """The conversation as chat's messages. Calls that follow one another, or an assistant's words, are one message."""
    messages: list[dict[str, Any]] = []
    if asked.instructions is not None:
        messages.append({"role": "system", "content": asked.instructions})
    if isinstance(asked.input, str):
        return [*messages, {"role": "user", "content": asked.input}]
    for item in asked.input:
        if item.type == "message":
            messages.append({"role": item.role, "content": _content(item.content)})
        elif item.type == "function_call":
            if not messages or messages[-1]["role"] != "assistant":
                messages.append({"role": "assistant", "content": None})
            messages[-1].setdefault("tool_calls", []).append(
                {"id": item.call_id, "type": "function", "function": {"name": item.name, "arguments": item.arguments}}
            )
        elif item.type == "function_call_output":
            messages.append({"role": "tool", "tool_call_id": item.call_id, "content": _content(item.output)})
    return messages


def _function(tool: r.FunctionTool) -> dict[str, Any]:
    told = {"name": tool.name, "description": tool.description, "parameters": tool.parameters, "strict": tool.strict}
    return {"type": "function", "function": {name: value for name, value in told.items() if value is not None}}


def _format(form: Any) -> dict[str, Any]:
    if not isinstance(form, r.SchemaFormat):
        return {"type": form.__struct_config__.tag}
    told = {"name": form.name, "description": form.description, "schema": form.schema, "strict": form.strict}
    return {"type": "json_schema", "json_schema": {name: value for name, value in told.items() if value is not None}}


def response_to_chat(
    asked: r.ResponseRequest,
    messages: list[dict[str, Any]],
    fields: dict[str, Any],
) -> dict[str, Any]:
    chat = {name: value for name, value in fields.items() if name not in _OF_RESPONSES}
    chat["messages"] = messages
    if asked.max_output_tokens is not None:
        chat["max_completion_tokens"] = asked.max_output_tokens
    if asked.tools:
        chat["tools"] = [_function(tool) for tool in asked.tools]
    if isinstance(asked.tool_choice, r.FunctionChoice):
        chat["tool_choice"] = {"type": "function", "function": {"name": asked.tool_choice.name}}
    elif asked.tool_choice and asked.tools:
        chat["tool_choice"] = asked.tool_choice
    if asked.text and asked.text.format:
        chat["response_format"] = _format(asked.text.format)
    if asked.text and asked.text.verbosity:
        chat["verbosity"] = asked.text.verbosity
    if asked.reasoning and asked.reasoning.effort:
        chat["reasoning_effort"] = asked.reasoning.effort
    if asked.top_logprobs is not None or asked.include:
        chat |= {"logprobs": True, "top_logprobs": asked.top_logprobs or 0}
    return chat


def response_usage(usage: dict[str, Any] | None) -> dict[str, Any] | None:
    """Chat's counts under the names that responses give them."""
    if not usage:
        return None
    before, after = usage.get("prompt_tokens") or 0, usage.get("completion_tokens") or 0
    cached = (usage.get("prompt_tokens_details") or {}).get("cached_tokens") or 0
    thought = (usage.get("completion_tokens_details") or {}).get("reasoning_tokens") or 0
    return {
        "input_tokens": before,
        "input_tokens_details": {"cached_tokens": cached},
        "output_tokens": after,
        "output_tokens_details": {"reasoning_tokens": thought},
        "total_tokens": before + after,
    }
