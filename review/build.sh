#!/bin/sh
# Checks that every stand-in can be compiled. They need nothing beyond the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/standins.py review/*/case.py
