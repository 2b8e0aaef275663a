"""Operators' files: TOML, read into typed records. Every error names the file, the key's path, what was found there
and what is allowed."""

from __future__ import annotations

import difflib
import re
import tomllib
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from pearhill.config import ConfigError

T = TypeVar("T")
_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")
_UNKNOWN = re.compile(r"unknown field `([^`]*)`")
_MISSING = re.compile(r"missing required field `([^`]*)`")
_WORDS = {
    "int": "a whole number",
    "float": "a number",
    "str": "text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
    "null": "nothing",
}

_SORTS: dict[type, str] = {
    inspect.IntType: "a whole number",
    inspect.FloatType: "a number",
    inspect.StrType: "text",
    inspect.ListType: "a list",
    inspect.StructType: "a table",
}


class Place(msgspec.Struct):
    """A place in a file: its path, what stands there, and the type that it should have."""

    path: str
    found: Any
    type: Any


def _inner(kind: Any, wanted: type) -> Any:
    """The part of a union that is of this sort."""
    if isinstance(kind, inspect.UnionType):
        return next((part for part in kind.types if isinstance(part, wanted)), kind)
    return kind


def _place(record: Any, told: Any, path: str) -> Place:
    place = Place("", told, inspect.type_info(record))
    for name, index in _STEP.findall(path):
        if name:
            struct = _inner(place.type, inspect.StructType)
            fields = {f.encode_name: f.type for f in getattr(struct, "fields", ())}
            place.type = fields.get(name, getattr(struct, "value_type", None))
            place.found = place.found.get(name) if isinstance(place.found, dict) else None
            place.path += f".{name}" if place.path else name
        else:
            place.type = getattr(_inner(place.type, inspect.ListType), "item_type", None)
            at = int(index) if index.isdigit() else 0
            place.found = place.found[at] if isinstance(place.found, list) and at < len(place.found) else None
            place.path += f"[{index}]"
    return place


def shown(found: Any) -> str:
    text = "nothing" if found is None else "true" if found is True else "false" if found is False else repr(found)
    return text if len(text) <= 60 else f"{text[:57]}..."


def complaint(path: str, found: Any, allowed: str) -> ConfigError:
    return ConfigError(f"{path}: found {shown(found)}; allowed: {allowed}")


def _allowed(kind: Any, what: str) -> str:
    literal = _inner(kind, inspect.LiteralType)
    if isinstance(literal, inspect.LiteralType):
        return ", ".join(map(str, literal.values))
    what = what.removeprefix("Expected ").partition(", got ")[0]
    return re.sub(r"`([^`]*)`", lambda m: " or ".join(_WORDS.get(w, w) for w in m[1].split(" | ")), what)


def convert(told: Any, record: type[T]) -> T:
    """The record that a file's contents make. ConfigError, without the file's name."""
    try:
        return msgspec.convert(told, record, strict=True)
    except msgspec.ValidationError as e:
        what, _, at = str(e).partition(" - at `$")
        place = _place(record, told, at.rstrip("`"))
        names = [f.encode_name for f in getattr(_inner(place.type, inspect.StructType), "fields", ())]
        dot = f"{place.path}." if place.path else ""
        if unknown := _UNKNOWN.search(what):
            near = difflib.get_close_matches(unknown[1], names, 1)
            hint = f" (did you mean {near[0]}?)" if near else ""
            raise ConfigError(
                f"{dot}{unknown[1]}: found a key that is not known{hint}; allowed: " f"{', '.join(names)}"
            ) from None
        if missing := _MISSING.search(what):
            kind = _place(record, told, f"{at.rstrip('`')}.{missing[1]}").type
            wanted = _SORTS.get(type(kind), "a value")
            raise complaint(f"{dot}{missing[1]}", None, f"{wanted}; it must be given") from None
        raise complaint(place.path, place.found, _allowed(place.type, what)) from None


def load(path: str, record: type[T]) -> tuple[T, dict[str, Any]]:
    """A TOML file as a record, and as it was read. ConfigError names the file."""
    try:
        with open(path, "rb") as file:
            told = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise ConfigError(f"{path}: {getattr(e, 'strerror', None) or e}") from None
    try:
        return convert(told, record), told
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None
