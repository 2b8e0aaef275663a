"""Names in the operator's file that refer to something declared elsewhere."""

from __future__ import annotations

from collections.abc import Sequence

from pearhill.config import typed


def number_of(path: str, name: str, names: Sequence[str]) -> int:
    """The place of `name` among the declared `names`. ConfigError, with the key's `path`: it is none of them."""
    if name not in names:
        raise typed.invalid_value(path, name, ", ".join(names) or "none is declared")
    return names.index(name)
