"""From bytes to a typed record, with errors that name the place in the body."""

from __future__ import annotations

import re
from typing import Any, Generic, TypeVar

import msgspec

from pearhill.chat.errors import ApiError, invalid_request

T = TypeVar("T")
_AT = re.compile(r"^(?P<what>.*?)(?: - at (?P<key>key in )?`\$(?P<path>.*)`)?$", re.DOTALL)
_MISSING = re.compile(r"missing required field `(?P<name>[^`]*)`")
_fields: msgspec.json.Decoder[dict[str, msgspec.Raw]] = msgspec.json.Decoder(dict[str, msgspec.Raw])


def place(error: msgspec.ValidationError) -> tuple[str, str | None, str]:
    """What msgspec found, the path to it, and the code for it."""
    found = _AT.match(str(error))
    what, path = (found["what"], found["path"] or "") if found else (str(error), "")
    path = path.lstrip(".")
    code = "invalid_type" if "got `" in what or re.fullmatch(r"Expected `\w+`", what) else "invalid_value"
    if missing := _MISSING.search(what):
        path, code = f"{path}.{missing['name']}" if path else missing["name"], "missing_required_parameter"
        what = f"Missing required parameter: '{path}'."
    return what, path or None, code


class Reader(Generic[T]):
    """Reads bodies as one type of record. Safe to share; keeps nothing of what it has read."""

    def __init__(self, record: type[T]) -> None:
        self._decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(record)

    def read(self, body: bytes) -> tuple[T, dict[str, Any]]:
        """The record, and every field of the body as its own bytes, for the servers. ApiError: the body is no JSON
        (400 `invalid_json`), or not of this form (400, with the parameter's path)."""
        try:
            body.decode()  # Danger: what stands in a field that nobody here knows would be checked by nobody.
            return self._decoder.decode(body), dict(_fields.decode(body))
        except UnicodeDecodeError as e:
            raise invalid_request(f"The body is no UTF-8: byte {e.start}.", code="invalid_json") from None
        except msgspec.ValidationError as e:
            what, path, code = place(e)
            where = f" at '{path}'" if path and "'" + path + "'" not in what else ""
            raise invalid_request(f"{what}{where}" + ("" if what.endswith(".") else "."), path, code) from None
        except msgspec.DecodeError as e:
            raise invalid_request(f"The body is no JSON: {e}.", code="invalid_json") from None
        except RecursionError:
            raise invalid_request("The body is nested too deeply.", code="invalid_json") from None


def refuse_unless(holds: bool, message: str, param: str, code: str = "invalid_value") -> None:
    """What no single field's type can tell: one field against another."""
    if not holds:
        raise ApiError(400, message, code, param)
