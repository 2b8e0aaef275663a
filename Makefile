# Main targets: make build, make test, make lint, make run.
PYTHON := .venv/bin/python
CHAT ?= deploy/chat.toml

# The bench's folder. `make sites KIT=FOLDER` copies the files from it that a simulation of the deployments in
# deploy/sites needs.
KIT ?= ../given/kit
WORDS := real.json wire.json unlock.txt

.PHONY: build test lint run scale clean sites

build:
	test -x $(PYTHON) || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

# Runs the chat front end with stand-in replicas on this machine; Ctrl-C stops all of them. To use other replicas, run
# `pearhill serve FILE`. The platform's dispatcher is `python -m pearhill`, with the platform's variables set.
run: build
	.venv/bin/pearhill lab up $(CHAT)

# Measures the cost of the fleet's control traffic over a small grid; takes a few minutes on an idle machine.
# docs/LAB.md describes the full plans.
scale: build
	.venv/bin/pearhill lab scale deploy/lab/scale/small.toml --json found/scale-small.json --report found/scale-small.html

sites:
	@for word in $(WORDS); do test -f $(KIT)/more/mass/other/$$word || \
	    { echo "make sites: $(KIT)/more/mass/other/$$word is missing: name the bench's folder with KIT=FOLDER"; exit 1; }; done
	@cp $(addprefix $(KIT)/more/mass/other/,$(WORDS)) deploy/sites/

clean:
	rm -rf .venv build *.egg-info .mypy_cache .ruff_cache .pytest_cache
