"""Checks that a body is a JSON object, in time that grows with its bytes alone, whatever these are."""

from __future__ import annotations

import msgspec

BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class _AnyObject(msgspec.Struct):
    """An object whose fields are all unknown: msgspec checks their syntax, and creates no value for them."""


_decoder: msgspec.json.Decoder[_AnyObject] = msgspec.json.Decoder(_AnyObject)


class NoJsonObjectError(Exception):
    """Raised for a body that is no JSON object. The text says whether it is no JSON, or another JSON value."""


def check_json_object(body: bytes) -> None:
    """Check a body by RFC 8259, in UTF-8. A byte order mark is ignored, as the RFC allows.

    Raises NoJsonObjectError. Numbers may have any size. Nesting is limited to some hundred levels.
    """
    text = body.removeprefix(BYTE_ORDER_MARK)
    if b"\\u" in text:
        text = _without_surrogates(text)
    try:
        text.decode()  # msgspec does not check the encoding of what it skips
        _decoder.decode(text)
    except msgspec.ValidationError:
        raise NoJsonObjectError("the body is no JSON object") from None
    except (UnicodeDecodeError, msgspec.DecodeError, RecursionError):
        raise NoJsonObjectError("the body is no JSON") from None


def _without_surrogates(text: bytes) -> bytes:
    """Change each escape of a surrogate into that of another character, which is equally valid. The grammar allows half
    of a surrogate pair, msgspec does not, and clients that truncate text send some."""
    return text.replace(b"\\ud", b"\\u0").replace(b"\\uD", b"\\u0")
