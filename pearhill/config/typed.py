"""Reads operators' TOML files into typed records.

Every error names the file, the path of the key, the value found there and what is allowed.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from pearhill.config import ConfigError

T = TypeVar("T")

MAX_SHOWN_CHARACTERS = 60  # limit on the length of a value in an error

# Patterns and type names in msgspec's error messages.
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
_MISSING_FIELD = re.compile(r"missing required field `([^`]*)`")
_TYPE_NAMES = {
    "int": "a whole number",
    "float": "a number",
    "str": "text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
    "null": "nothing",
}

_NAMES_OF_TYPES: dict[type, str] = {
    inspect.IntType: "a whole number",
    inspect.FloatType: "a number",
    inspect.StrType: "text",
    inspect.ListType: "a list",
    inspect.StructType: "a table",
}


class FileLocation(msgspec.Struct):
    """A location in a file: its path, the value found there, and the expected type."""

    path: str
    found: Any
    type: Any

    @property
    def keys(self) -> list[str]:
        """The allowed keys if a table is expected here, else an empty list."""
        return [field.encode_name for field in _fields(self.type)]

    def key(self, name: str) -> str:
        """Returns the path of a key in the table at this location."""
        return f"{self.path}.{name}" if self.path else name


def load(path: str, record: type[T]) -> tuple[T, dict[str, Any]]:
    """Returns a TOML file as a record and as a plain dictionary. Raises ConfigError, which names the file."""
    try:
        with open(path, "rb") as file:
            contents = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise ConfigError(f"{path}: {getattr(e, 'strerror', None) or e}") from None
    try:
        return convert(contents, record), contents
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None


def convert(contents: Any, record: type[T]) -> T:
    """Converts the contents of a file to a record. Raises ConfigError, which does not name the file."""
    try:
        return msgspec.convert(contents, record, strict=True)
    except msgspec.ValidationError as e:
        raise _explain(str(e), contents, record) from None


def invalid_value(path: str, found: Any, allowed: str) -> ConfigError:
    """Returns the error for a value that is not allowed at this path."""
    return ConfigError(f"{path}: found {format_value(found)}; allowed: {allowed}")


def format_value(found: Any) -> str:
    """Returns a value as it is written in the file, shortened to MAX_SHOWN_CHARACTERS."""
    text = _as_in_file(found)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[: MAX_SHOWN_CHARACTERS - 3]}..."


def _as_in_file(found: Any) -> str:
    if found is None:
        return "nothing"
    if found is True:
        return "true"
    if found is False:
        return "false"
    return repr(found)


def _explain(message: str, contents: Any, record: Any) -> ConfigError:
    """Converts an error of msgspec to one that names the location, the value found there and what is allowed."""
    description, _, at = message.partition(" - at `$")
    path = at.rstrip("`")
    location = _locate(record, contents, path)
    unknown = _UNKNOWN_FIELD.search(description)
    if unknown:
        return _unknown_key(location, unknown[1])
    missing = _MISSING_FIELD.search(description)
    if missing:
        expected = _locate(record, contents, f"{path}.{missing[1]}").type
        wanted = _NAMES_OF_TYPES.get(type(expected), "a value")
        return invalid_value(location.key(missing[1]), None, f"{wanted}; it must be given")
    return invalid_value(location.path, location.found, _allowed(location.type, description))


def _unknown_key(location: FileLocation, name: str) -> ConfigError:
    keys = location.keys
    similar = difflib.get_close_matches(name, keys, 1)
    hint = f" (did you mean {similar[0]}?)" if similar else ""
    return ConfigError(f"{location.key(name)}: found an unknown key{hint}; allowed: {', '.join(keys)}")


def _locate(record: Any, contents: Any, path: str) -> FileLocation:
    """Follow a path from an error of msgspec through the contents and the record's type."""
    location = FileLocation("", contents, inspect.type_info(record))
    for name, index in _PATH_STEP.findall(path):
        if name:
            _enter_table(location, name)
        else:
            _enter_list(location, index)
    return location


def _enter_table(location: FileLocation, name: str) -> None:
    types = {field.encode_name: field.type for field in _fields(location.type)}
    value_type = getattr(_member(location.type, inspect.StructType), "value_type", None)
    location.path = location.key(name)
    location.type = types.get(name, value_type)
    location.found = location.found.get(name) if isinstance(location.found, dict) else None


def _enter_list(location: FileLocation, index: str) -> None:
    """Move the location to a list item. The index "..." stands for any item; the first is shown then."""
    position = int(index) if index.isdigit() else 0
    location.path += f"[{index}]"
    location.type = getattr(_member(location.type, inspect.ListType), "item_type", None)
    exists = isinstance(location.found, list) and position < len(location.found)
    location.found = location.found[position] if exists else None


def _member(kind: Any, wanted: type) -> Any:
    """Returns the member of a union that has the wanted type, or `kind` itself if there is no such member."""
    if isinstance(kind, inspect.UnionType):
        return next((member for member in kind.types if isinstance(member, wanted)), kind)
    return kind


def _fields(kind: Any) -> tuple[Any, ...]:
    """Returns the fields of a table's type."""
    return tuple(getattr(_member(kind, inspect.StructType), "fields", ()))


def _allowed(kind: Any, description: str) -> str:
    """Returns what msgspec expected, in terms that operators understand."""
    literal = _member(kind, inspect.LiteralType)
    if isinstance(literal, inspect.LiteralType):
        return ", ".join(map(str, literal.values))
    expected = description.removeprefix("Expected ").partition(", got ")[0]
    return re.sub(r"`([^`]*)`", lambda match: _type_names(match[1]), expected)


def _type_names(union: str) -> str:
    return " or ".join(_TYPE_NAMES.get(name, name) for name in union.split(" | "))
