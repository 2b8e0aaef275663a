"""Decodes a request's body into a typed record. Errors name the field by its path in the body."""

from __future__ import annotations

import re
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec

from pearhill.chat.errors import ApiError, invalid_request

T = TypeVar("T")
JsonObject = dict[str, msgspec.Raw]  # its values are checked as JSON and kept as they were received
# The format of msgspec's messages: the fault, then its path from the document's root `$`.
_FAULT_AND_PATH = re.compile(r"^(?P<fault>.*?)(?: - at (?P<key>key in )?`\$(?P<path>.*)`)?$", re.DOTALL)
_MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]*)`")
_fields_decoder: msgspec.json.Decoder[dict[str, msgspec.Raw]] = msgspec.json.Decoder(dict[str, msgspec.Raw])


class BodyFault(NamedTuple):
    """A fault of a body. `path` is that of the field, or None if the fault concerns the body as a whole."""

    message: str
    path: str | None
    code: str


def parse_validation_error(error: msgspec.ValidationError) -> BodyFault:
    """Returns the fault that msgspec's message describes."""
    match = _FAULT_AND_PATH.match(str(error))
    message = match["fault"] if match else str(error)
    path = (match["path"] or "").lstrip(".") if match else ""
    missing = _MISSING_FIELD.search(message)
    if missing:
        path = f"{path}.{missing['name']}" if path else missing["name"]
        return BodyFault(f"Missing required parameter: '{path}'.", path or None, "missing_required_parameter")
    is_type_fault = "got `" in message or re.fullmatch(r"Expected `\w+`", message)
    return BodyFault(message, path or None, "invalid_type" if is_type_fault else "invalid_value")


class Reader(Generic[T]):
    """Decodes bodies into one type of record. It keeps no state and can be shared."""

    def __init__(self, record: type[T]) -> None:
        self._decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(record)

    def read(self, body: bytes) -> tuple[T, dict[str, Any]]:
        """Returns the record, and all fields of the body as received, which are forwarded to replicas.

        Raises ApiError if the body is not JSON (400 `invalid_json`), or does not match the record's type (400, with the
        field's path).
        """
        try:
            # msgspec does not check the encoding of text in fields that the record does not declare.
            body.decode()
            return self._decoder.decode(body), dict(_fields_decoder.decode(body))
        except UnicodeDecodeError as e:
            raise invalid_request(f"The body is no UTF-8: byte {e.start}.", code="invalid_json") from None
        except msgspec.ValidationError as e:
            raise _to_api_error(parse_validation_error(e)) from None
        except msgspec.DecodeError as e:
            raise invalid_request(f"The body is no JSON: {e}.", code="invalid_json") from None
        except RecursionError:
            raise invalid_request("The body is nested too deeply.", code="invalid_json") from None


def _to_api_error(fault: BodyFault) -> ApiError:
    message = fault.message
    if fault.path and f"'{fault.path}'" not in message:
        message += f" at '{fault.path}'"
    if not fault.message.endswith("."):
        message += "."
    return invalid_request(message, fault.path, fault.code)


def require(condition: bool, message: str, param: str, code: str = "invalid_value") -> None:
    """Check a rule that the type of a single field cannot express.

    Raises ApiError (status 400) if the condition is false.
    """
    if not condition:
        raise ApiError(400, message, code, param)
