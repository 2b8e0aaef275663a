"""The identifiers that docstrings mention in backquotes exist."""

from __future__ import annotations

import ast
import functools
import pathlib
import re
from collections.abc import Iterator

import pytest

ROOT = pathlib.Path(__file__).parent.parent
MODULES = sorted((ROOT / "pearhill").rglob("*.py"))
MENTION = re.compile(r"`([^`\n]+)`")
EXTERNAL_NAMES = ("loop.sock_recv_into", "uv__poll_io")  # functions of asyncio and libuv
NAME = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?")
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


@functools.cache
def tree(module: pathlib.Path) -> ast.Module:
    return ast.parse(module.read_text())


def docstrings(module: pathlib.Path) -> Iterator[str]:
    for node in ast.walk(tree(module)):
        if isinstance(node, DOCUMENTED) and (text := ast.get_docstring(node)):
            yield text


@functools.cache
def identifiers(module: pathlib.Path) -> frozenset[str]:
    """Returns the names in a module's code: definitions, variables, attributes, arguments, and words in strings."""
    documented = {id(node.body[0].value) for node in ast.walk(tree(module)) if _has_docstring(node)}  # type: ignore[attr-defined]
    found: set[str] = set()
    for node in ast.walk(tree(module)):
        for field in ("name", "id", "attr", "arg"):
            if isinstance(value := getattr(node, field, None), str):
                found.update(value.split("."))
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in documented:
            found.update(re.findall(r"\w+", node.value))
        if isinstance(node, ast.ImportFrom) and node.module:
            found.update(node.module.split("."))
    return frozenset(found)


def _has_docstring(node: ast.AST) -> bool:
    return isinstance(node, DOCUMENTED) and ast.get_docstring(node, clean=False) is not None


@functools.cache
def all_identifiers() -> frozenset[str]:
    paths = {part for module in MODULES for part in (module.stem, module.parent.name)}
    return frozenset().union(paths, *(identifiers(module) for module in MODULES))


def is_missing(mention: str) -> bool:
    """Whether it is a name that no code has, or for `module.member`, that this module does not have."""
    if not NAME.fullmatch(mention) or mention in EXTERNAL_NAMES:
        return False
    *owners, member = mention.removesuffix("()").split(".")
    if member in ("py", "toml"):
        return not list(ROOT.glob(f"pearhill/**/{mention}"))
    if (ROOT / mention.replace(".", "/")).with_suffix(".py").exists():
        return False
    modules = [module for module in MODULES if owners and module.stem == owners[-1]]
    if modules:
        return not any(member in identifiers(module) for module in modules)
    return member not in all_identifiers()


@pytest.mark.parametrize("package", sorted({module.parent for module in MODULES}), ids=lambda path: path.name)
def test_names_that_docstrings_mention_exist(package: pathlib.Path) -> None:
    missing = {
        f"{module.relative_to(ROOT)}: {mention}"
        for module in MODULES
        if module.parent == package
        for text in docstrings(module)
        for mention in MENTION.findall(text)
        if is_missing(mention)
    }
    assert sorted(missing) == []


@pytest.mark.parametrize(
    ("mention", "missing"),
    [
        ("permissions.may_retry", True),
        ("permissions.retry_denial", False),
        ("Router.handle", False),
        ("Router.gone_for_good", True),
        ("no_such_name", True),
        ("router.py", False),
        ("no_such_file.py", True),
        ("GET /counters", False),
    ],
)
def test_a_name_that_no_code_has_is_found(mention: str, missing: bool) -> None:
    assert is_missing(mention) == missing
