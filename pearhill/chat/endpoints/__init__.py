"""The endpoints: each reads its own words, and writes them. What the core does is the same for all."""

from __future__ import annotations

from collections.abc import Callable

from pearhill.chat.endpoints import chat, completions, responses
from pearhill.chat.prompt import Prompt

ENDPOINTS: dict[str, Callable[[bytes], Prompt]] = {
    "/v1/chat/completions": chat.read,
    "/v1/completions": completions.read,
    "/v1/responses": responses.read,
}
