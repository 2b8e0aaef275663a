"""The endpoints. Each reads requests and writes answers in its own format; routing and retries are the same for all."""

from __future__ import annotations

from collections.abc import Callable

from pearhill.chat.endpoints import chat, completions, responses
from pearhill.chat.prompt import Prompt

# The function that reads a request's body, by path. It raises ApiError if the body is not a valid request.
ENDPOINTS: dict[str, Callable[[bytes], Prompt]] = {
    "/v1/chat/completions": chat.read,
    "/v1/completions": completions.read,
    "/v1/responses": responses.read,
}
