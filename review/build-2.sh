#!/bin/sh
# Prepares the cases of the second review, after the `build` command of deploy/balancer.toml. The stand-ins are Python files
# that need the standard library alone, so they are only compiled. Cases 8, 9 and 10 run the chat API. Where its extra [chat]
# is not installed, `review/fallback` stands in for the one library of it that the process imports.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m py_compile review/standins2.py review/fallback/xxhash.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py
