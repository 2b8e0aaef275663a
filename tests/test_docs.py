"""The links of the pages resolve, and the files and identifiers that a page mentions exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# Incidents and the changelog describe past states of the code; all other pages describe the present one.
HISTORY_PAGES = (ROOT / "docs" / "incidents", ROOT / "CHANGELOG.md")
PAGES = sorted([*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")])
CURRENT_PAGES = [page for page in PAGES if not any(page.is_relative_to(record) for record in HISTORY_PAGES)]
SOURCES = [path.read_text() for top in ("pearhill", "tests", "benchmarks") for path in (ROOT / top).rglob("*.py")]
WORDS = frozenset(word for source in SOURCES for word in re.findall(r"\w+", source))

LINK = re.compile(r"\]\(([^)\s]+)\)")
MENTION = re.compile(r"`([^`\n]+)`")
CODE_FILE = re.compile(r"[\w./-]+\.(?:py|j2)")
CLASS_MEMBER = re.compile(r"[A-Z]\w*[a-z]\w*(?:\.\w+)+(?:\(\))?")
CAMEL_CASE = re.compile(r"[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]+)+")
PRIVATE_NAME = re.compile(r"_[a-z]\w+")


def page_path(page: pathlib.Path) -> str:
    return page.relative_to(ROOT).as_posix()


def anchors(page: pathlib.Path) -> set[str]:
    """Returns the anchors of a page's headings, in the form of common Markdown renderers."""
    known: set[str] = set()
    for heading in re.findall(r"^#+ +(.+)$", page.read_text(), re.M):
        plain = re.sub(r"[^\w\- ]", "", heading.lower().replace("`", ""))
        anchor = plain.replace(" ", "-")
        count = sum(each == anchor or each.startswith(f"{anchor}-") for each in known)
        known.add(f"{anchor}-{count}" if anchor in known else anchor)
    return known


@pytest.mark.parametrize("page", PAGES, ids=page_path)
def test_links_resolve(page: pathlib.Path) -> None:
    broken = []
    for link in LINK.findall(page.read_text()):
        if "://" in link:
            continue
        target, _, anchor = link.partition("#")
        path = (page.parent / target).resolve() if target else page
        if not path.exists() or (anchor and path.suffix == ".md" and anchor not in anchors(path)):
            broken.append(link)
    assert broken == []


def is_missing(mention: str) -> bool:
    """Whether the text has the form of a file, class, member or private name, but no code has that name."""
    if CODE_FILE.fullmatch(mention):
        places = (ROOT, ROOT / "pearhill", ROOT / "tests")
        return not any((place / mention).exists() for place in places) and not list(ROOT.glob(f"pearhill/**/{mention}"))
    if CLASS_MEMBER.fullmatch(mention):
        return not is_member(mention.removesuffix("()"))
    if CAMEL_CASE.fullmatch(mention) or PRIVATE_NAME.fullmatch(mention):
        return mention not in WORDS
    return False


def is_member(mention: str) -> bool:
    """Whether a file that defines this class or enumeration also contains the member's name."""
    owner, _, member = mention.partition(".")
    return any(
        re.search(rf"^class {owner}\b", source, re.M) and re.search(rf"\b{member.partition('.')[0]}\b", source)
        for source in SOURCES
    )


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=page_path)
def test_code_that_a_page_mentions_exists(page: pathlib.Path) -> None:
    assert sorted({mention for mention in MENTION.findall(page.read_text()) if is_missing(mention)}) == []
