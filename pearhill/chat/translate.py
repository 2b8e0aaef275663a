"""Converts between the formats of the endpoints and that of chat completions, the only one that replicas serve.

Requests of all endpoints are converted to chat requests, and parts of the answers to the format of the endpoint.
Sources: OpenAI's API reference, "Chat Completions", "Completions" and "Responses".
"""

from __future__ import annotations

from typing import Any

from pearhill.chat.schema import items
from pearhill.chat.schema.chat import JsonFormat, TextFormat
from pearhill.chat.schema.completions import CompletionRequest
from pearhill.chat.schema.responses import FunctionChoice, FunctionTool, ResponseRequest, SchemaFormat

# Fields with another name, another form or no meaning in a chat request. All other fields are forwarded unchanged.
_COMPLETION_FIELDS = ("prompt", "echo", "suffix", "best_of", "logprobs")
_RESPONSE_FIELDS = (
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


def completion_to_chat(request: CompletionRequest, fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the chat request for a text completion. `fields` has all fields of its body."""
    chat = {name: value for name, value in fields.items() if name not in _COMPLETION_FIELDS}
    chat["messages"] = [{"role": "user", "content": request.text}]
    if request.logprobs is not None:
        chat |= {"logprobs": True, "top_logprobs": request.logprobs}
    return chat


def completion_logprobs(logprobs: dict[str, Any] | None, offset: int) -> dict[str, list[Any]] | None:
    """Converts chat's log probabilities to the form of completions (`CompletionLogprobs`), or None if there are none.

    `offset` is the position of the first token, in characters of the choice's text.
    """
    entries = (logprobs or {}).get("content") or []
    if not entries:
        return None
    offsets = []
    for entry in entries:
        offsets.append(offset)
        offset += len(entry["token"])
    return {
        "tokens": [entry["token"] for entry in entries],
        "token_logprobs": [entry.get("logprob") for entry in entries],
        "top_logprobs": [_top_logprobs(entry) for entry in entries],
        "text_offset": offsets,
    }


def _top_logprobs(entry: dict[str, Any]) -> dict[str, float | None]:
    return {top["token"]: top.get("logprob") for top in entry.get("top_logprobs") or ()}


def items_to_messages(request: ResponseRequest) -> list[dict[str, Any]]:
    """Returns the input as messages of a chat request.

    Consecutive function calls become tool calls of one message, together with a preceding message of the assistant.
    Reasoning items have no counterpart in chat and are left out.
    """
    messages: list[dict[str, Any]] = []
    if request.instructions is not None:
        messages.append({"role": "system", "content": request.instructions})
    if isinstance(request.input, str):
        return [*messages, {"role": "user", "content": request.input}]
    for item in request.input:
        if item.type == "message":
            messages.append({"role": item.role, "content": _content(item.content)})
        elif item.type == "function_call":
            _add_call(messages, item)
        elif item.type == "function_call_output":
            messages.append({"role": "tool", "tool_call_id": item.call_id, "content": _content(item.output)})
    return messages


def _add_call(messages: list[dict[str, Any]], item: items.Item) -> None:
    if not messages or messages[-1]["role"] != "assistant":
        messages.append({"role": "assistant", "content": None})
    function = {"name": item.name, "arguments": item.arguments}
    calls = messages[-1].setdefault("tool_calls", [])
    calls.append({"id": item.call_id, "type": "function", "function": function})


def _content(content: Any) -> str | list[dict[str, Any]]:
    if isinstance(content, str):
        return content
    return [_part(part) for part in content or ()]


def _part(part: items.Part) -> dict[str, Any]:
    match part:
        case items.InputText(text) | items.OutputText(text):
            return {"type": "text", "text": text}
        case items.OutputRefusal(refusal):
            return {"type": "refusal", "refusal": refusal}
        case items.InputImage(url, _, detail):
            return {"type": "image_url", "image_url": {"url": url, "detail": detail}}
        case items.InputFile(file_id, data, name):
            return {"type": "file", "file": _present({"file_id": file_id, "file_data": data, "filename": name})}
        case items.InputAudio(audio):
            return {"type": "input_audio", "input_audio": audio}


def response_to_chat(
    request: ResponseRequest, messages: list[dict[str, Any]], fields: dict[str, Any]
) -> dict[str, Any]:
    """Returns the chat request for a response.

    `messages` is its input (`items_to_messages`), and `fields` has all fields of its body.
    """
    chat = {name: value for name, value in fields.items() if name not in _RESPONSE_FIELDS}
    chat["messages"] = messages
    if request.max_output_tokens is not None:
        chat["max_completion_tokens"] = request.max_output_tokens
    chat |= _tool_fields(request)
    chat |= _text_fields(request)
    if request.reasoning and request.reasoning.effort:
        chat["reasoning_effort"] = request.reasoning.effort
    if request.top_logprobs is not None or request.include:
        chat |= {"logprobs": True, "top_logprobs": request.top_logprobs or 0}
    return chat


def _tool_fields(request: ResponseRequest) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    if request.tools:
        fields["tools"] = [_function(tool) for tool in request.tools]
    if isinstance(request.tool_choice, FunctionChoice):
        fields["tool_choice"] = {"type": "function", "function": {"name": request.tool_choice.name}}
    elif request.tool_choice and request.tools:
        fields["tool_choice"] = request.tool_choice
    return fields


def _text_fields(request: ResponseRequest) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    if request.text and request.text.format:
        fields["response_format"] = _format(request.text.format)
    if request.text and request.text.verbosity:
        fields["verbosity"] = request.text.verbosity
    return fields


def _function(tool: FunctionTool) -> dict[str, Any]:
    function = {
        "name": tool.name,
        "description": tool.description,
        "parameters": tool.parameters,
        "strict": tool.strict,
    }
    return {"type": "function", "function": _present(function)}


def _format(text_format: TextFormat | JsonFormat | SchemaFormat) -> dict[str, Any]:
    if not isinstance(text_format, SchemaFormat):
        return {"type": text_format.__struct_config__.tag}
    schema = {
        "name": text_format.name,
        "description": text_format.description,
        "schema": text_format.schema,
        "strict": text_format.strict,
    }
    return {"type": "json_schema", "json_schema": _present(schema)}


def _present(fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields that are not None."""
    return {name: value for name, value in fields.items() if value is not None}


def response_usage(usage: dict[str, Any] | None) -> dict[str, Any] | None:
    """Returns chat's usage, in tokens, under the names of the responses endpoint, or None if there is none."""
    if not usage:
        return None
    input_tokens = usage.get("prompt_tokens") or 0
    output_tokens = usage.get("completion_tokens") or 0
    cached_tokens = (usage.get("prompt_tokens_details") or {}).get("cached_tokens") or 0
    reasoning_tokens = (usage.get("completion_tokens_details") or {}).get("reasoning_tokens") or 0
    return {
        "input_tokens": input_tokens,
        "input_tokens_details": {"cached_tokens": cached_tokens},
        "output_tokens": output_tokens,
        "output_tokens_details": {"reasoning_tokens": reasoning_tokens},
        "total_tokens": input_tokens + output_tokens,
    }
