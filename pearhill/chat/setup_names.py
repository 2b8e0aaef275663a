"""Resolves names in the operator's file that are declared in another place."""

from __future__ import annotations

from collections.abc import Sequence

from pearhill.config import typed


def index_of(path: str, name: str, names: Sequence[str]) -> int:
    """Returns the index of `name` in the declared `names`. Raises ConfigError for the key at `path` if it is absent."""
    if name not in names:
        raise typed.invalid_value(path, name, ", ".join(names) or "none is declared")
    return names.index(name)
