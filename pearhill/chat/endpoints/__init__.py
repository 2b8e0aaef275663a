"""The endpoints: each reads requests and writes answers in its own format. What the core does is the same for all."""

from __future__ import annotations

from collections.abc import Callable

from pearhill.chat.endpoints import chat, completions, responses
from pearhill.chat.prompt import Prompt

# What reads a request's body, by path. ApiError: the body is no request of the endpoint.
ENDPOINTS: dict[str, Callable[[bytes], Prompt]] = {
    "/v1/chat/completions": chat.read,
    "/v1/completions": completions.read,
    "/v1/responses": responses.read,
}
