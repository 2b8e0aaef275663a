"""Fields of a chat request that only replicas read create no objects here, however many parts they have."""

import tracemalloc

import pytest

from pearhill.chat.endpoints import ENDPOINTS
from pearhill.chat.errors import ApiError

BODY_BYTES = 250_000
DEPTH = 400
PART = b"[" * DEPTH + b"]" * DEPTH + b","
VALUE = b"[" + PART * (BODY_BYTES // len(PART)) + b"0]"
HEAD = b'{"model":"help","messages":[{"role":"user","content":"a"}],'
SCHEMA = b'{"type":"json_schema","json_schema":{"name":"a","schema":{"x":%b}}}'
FIELDS = {
    "parameters": b'"tools":[{"type":"function","function":{"name":"a","parameters":{"x":%b}}}]}',
    "grammar": b'"tools":[{"type":"custom","custom":{"name":"a","format":{"x":%b}}}]}',
    "schema": b'"response_format":' + SCHEMA + b"}",
}
read_chat = ENDPOINTS["/v1/chat/completions"]


@pytest.mark.parametrize("field", FIELDS)
def test_a_field_of_many_parts_is_kept_as_it_was_received(field: str) -> None:
    """The cause of review/2 in the chat API: 250,000 bytes of brackets took 55 ms of one tick of the event loop."""
    body = HEAD + FIELDS[field] % VALUE
    tracemalloc.start()
    try:
        read_chat(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 3 * len(body)


@pytest.mark.parametrize("field", FIELDS)
@pytest.mark.parametrize("value", [b"[", b"[1,]", b"tru"])
def test_its_content_has_to_be_json(field: str, value: bytes) -> None:
    with pytest.raises(ApiError) as raised:
        read_chat(HEAD + FIELDS[field] % value)
    assert raised.value.code == "invalid_json"
