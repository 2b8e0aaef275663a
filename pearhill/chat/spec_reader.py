"""Derives the core's spec of a chat request by the operator's rules. The first source that has a value is used.

class          a header, a field of the body's `metadata`, the first matching rule, the class of the model, the default
conversation   a header, a field of `metadata`, the messages up to the first user message
prefix         the leading system and developer messages
prompt length  the number of characters, divided by `chars_per_token`
output length  the limit of the request, the limit of the model, `max_out`
deadline       a header in milliseconds or the rule's deadline; at most the deadline of the class
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping

from pearhill.chat.errors import invalid_request
from pearhill.chat.incoming_request import IncomingRequest
from pearhill.chat.prompt import Prompt
from pearhill.chat.setup import Model, RequestRules, Rule
from pearhill.core.request import RequestSpec
from pearhill.settings import Deployment


def read_spec(
    request: IncomingRequest, prompt: Prompt, model: Model, classes: Mapping[str, int], deployment: Deployment
) -> RequestSpec:
    """Returns the core's spec of a request. `classes` has their numbers by name.

    Raises ApiError if the class is unknown, a length exceeds the model's limit, or the timeout header is invalid.
    """
    request_rules = request.request_rules
    headers = request.message.headers
    rule = next((rule for rule in request_rules.rules if rule.matches(model.name, headers)), None)
    request_class = _request_class(request_rules, headers, prompt, model, rule, classes)
    prefix_text, conversation_start = _leading_text(prompt)
    tokens = prompt.estimated_tokens(request_rules.chars_per_token)
    _check_lengths(prompt, model, tokens)
    conversation = (
        headers.get(request_rules.conversation_header)
        or prompt.metadata.get(request_rules.conversation_field)
        or conversation_start
    )
    return RequestSpec(
        request_class,
        _timeout(request_rules, headers, deployment.router.classes[request_class].deadline, rule),
        tokens,
        prompt.choice_count * (prompt.max_output_tokens or model.max_output_tokens or request_rules.max_output_tokens),
        session=_stable_hash(conversation),
        prefix=_stable_hash(prefix_text) if prefix_text else 0,
        prefix_tokens=int(len(prefix_text) / request_rules.chars_per_token),
        tenant=request.tenant.number,
        allowed_kinds=model.kinds,
    )


def _request_class(
    request_rules: RequestRules,
    headers: Mapping[str, str],
    prompt: Prompt,
    model: Model,
    rule: Rule | None,
    classes: Mapping[str, int],
) -> int:
    named = headers.get(request_rules.class_header) or prompt.metadata.get(request_rules.class_field)
    if named:
        if named not in classes:
            raise invalid_request(f"There is no class {named[:64]!r}.", f"metadata.{request_rules.class_field}")
        return classes[named]
    if rule:
        return rule.request_class
    if model.request_class >= 0:
        return model.request_class
    return request_rules.default_class


def _leading_text(prompt: Prompt) -> tuple[str, str]:
    """Returns the text of the leading system and developer messages, and all messages up to the first other one.

    The latter includes that message and the roles.
    """
    prefix_text = ""
    conversation_start = ""
    for turn in prompt.turns:
        conversation_start += f"{turn.role}\n{turn.text}\n"
        if turn.role not in ("system", "developer"):
            break
        prefix_text += turn.text
    return prefix_text, conversation_start


def _check_lengths(prompt: Prompt, model: Model, tokens: int) -> None:
    if model.max_prompt_tokens and tokens > model.max_prompt_tokens:
        raise invalid_request(
            f"The prompt has about {tokens} tokens; {model.name} takes {model.max_prompt_tokens}.",
            "messages",
            "context_length_exceeded",
        )
    if model.max_output_tokens and prompt.max_output_tokens and prompt.max_output_tokens > model.max_output_tokens:
        raise invalid_request(f"{model.name} writes {model.max_output_tokens} tokens at most.", "max_tokens")


def _timeout(request_rules: RequestRules, headers: Mapping[str, str], class_deadline: int, rule: Rule | None) -> int:
    """Returns the time until the request's deadline, in microseconds."""
    header = headers.get(request_rules.timeout_header)
    if header is None:
        return min(class_deadline, rule.deadline) if rule and rule.deadline > 0 else class_deadline
    if not re.fullmatch("[0-9]{1,10}", header) or not int(header):
        raise invalid_request(f"{request_rules.timeout_header} must be a whole number of milliseconds above 0.")
    return min(class_deadline, int(header) * 1000)


def _stable_hash(text: str) -> int:
    """Returns a hash of a text that is the same in every process. It is never 0, which means that there is no text."""
    return int.from_bytes(hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest()) or 1
