#!/bin/sh
# Prepares the cases of the second review, after the `build` command of deploy/balancer.toml. The stand-ins are Python files
# that need the standard library alone, so they are only compiled. Cases 8, 9 and 10 run the chat API, which needs the extra
# [chat] of pyproject.toml; if that cannot be installed, these cases exit with 2.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c 'import typer, xxhash' 2>/dev/null || .venv/bin/pip -q install '.[chat]' ||
    echo 'the extra [chat] is missing: cases 8, 9 and 10 cannot run' >&2
for file in review/standins2.py review/6/case.py review/[789]/case.py review/10/case.py; do
    test ! -e "$file" || .venv/bin/python -m py_compile "$file" || exit 1
done
