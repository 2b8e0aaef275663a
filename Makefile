# What a newcomer needs: make build, make test, make lint, make run.
PYTHON := .venv/bin/python
CHAT ?= deploy/chat.toml

.PHONY: build test lint run clean

build:
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

# The chat front before stand-in engines, on this machine alone; Ctrl-C ends all. For engines of your own:
# `pearhill serve FILE`. The platform's dispatcher is `python -m pearhill`, with the platform's variables set.
run: build
	.venv/bin/pearhill lab up $(CHAT)

clean:
	rm -rf .venv build *.egg-info .mypy_cache .ruff_cache .pytest_cache
