"""A body is checked by the grammar of JSON, and creates no objects, of which some hold 30 bytes for each of a body."""

import json
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearhill.platform.body_check import NoJsonObjectError, check_json_object

BODY_BYTES = 250_000
DEPTH = 400
CHANGES = (b"", b"\xff", b"\x01", *(bytes([byte]) for byte in b'[]{},:"\\0-.eu'))
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


def short_name(body: bytes) -> str:
    return repr(body[:20])


def is_accepted(body: bytes) -> bool:
    try:
        check_json_object(body)
    except NoJsonObjectError:
        return False
    return True


def refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not in the grammar of JSON")


def is_json_object(body: bytes) -> bool:
    """Decide the same with the standard library. Left to itself it reads NaN too."""
    try:
        text = body.decode().removeprefix("\ufeff")
        return isinstance(json.loads(text, parse_constant=refuse_constant), dict)
    except (ValueError, RecursionError):
        return False


@settings(deadline=None)
@given(st.dictionaries(st.text(), VALUES), st.booleans(), st.sampled_from([None, 1]))
def test_every_object_is_accepted_however_it_is_written(value: object, ascii_only: bool, indent: int | None) -> None:
    text = json.dumps(value, ensure_ascii=ascii_only, indent=indent)
    assert is_accepted(text.encode("utf-8", "replace"))


@settings(deadline=None, max_examples=200)
@given(st.dictionaries(st.text(), VALUES), st.data())
def test_a_changed_body_is_accepted_if_the_standard_library_reads_it(value: object, data: st.DataObject) -> None:
    body = bytearray(json.dumps(value).encode())
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(body)))
        body[at : at + data.draw(st.integers(0, 2))] = data.draw(st.sampled_from(CHANGES))
    assert is_accepted(bytes(body)) == is_json_object(bytes(body))


@pytest.mark.parametrize(
    "body",
    [
        rb'{"a": "cut \ud83d"}',
        rb'{"a": "\uDE00 first"}',
        rb'{"\udead": "\\ud800 \uD83D\uDE00"}',
        b"\xef\xbb\xbf{}",
        b'{"a": 1e400, "b": -0}',
        b'{"a": ' + b"1" * 5_000 + b"}",
        b'\r\n\t {"a": []}\n',
    ],
    ids=short_name,
)
def test_what_the_grammar_allows_is_accepted(body: bytes) -> None:
    assert is_accepted(body)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"1",
        b"{} {}",
        b'{"a": "\xff"}',
        b'{"\xff": 1}',
        b'{"a": "\xed\xa0\x80"}',
        rb'{"a": "\ud8"}',
        rb'{"a": "\udxyz"}',
        rb"{\ud800: 1}",
        b'{"a": NaN}',
        b'{"a": -Infinity}',
        b'{"a": 1,}',
        b'{"a": "\n"}',
        '{"a": 1}'.encode("utf-16"),
        b'{"a":' * 100_000,
    ],
    ids=short_name,
)
def test_what_the_grammar_does_not_allow_is_refused(body: bytes) -> None:
    assert not is_accepted(body)


@pytest.mark.parametrize(
    "part", [b"[" * DEPTH + b"]" * DEPTH + b",", b"[],", b"{},", b"1,", b'{"a":0},', b'"a",'], ids=short_name
)
def test_no_objects_are_created_for_the_parts_of_a_body(part: bytes) -> None:
    """Guards against review/2: the standard library built a list or a number for each few bytes, and 250,000 bytes of
    brackets took 40 ms. Memory is measured instead of time, since it does not depend on the machine."""
    body = b'{"messages":[' + part * (BODY_BYTES // len(part)) + b"0]}"
    tracemalloc.start()
    try:
        check_json_object(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 3 * len(body)
