# What a newcomer needs: make build, make test, make lint, make run.
PYTHON := .venv/bin/python
CHAT ?= deploy/chat.toml

# Where the bench lies, whose words our own deployments in deploy/sites are played with: make sites KIT=FOLDER.
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

# The chat front before stand-in engines, on this machine alone; Ctrl-C ends all. For engines of your own:
# `pearhill serve FILE`. The platform's dispatcher is `python -m pearhill`, with the platform's variables set.
run: build
	.venv/bin/pearhill lab up $(CHAT)

# What the fleet's control costs, over a small grid: a few minutes on a quiet machine. The full plans: docs/LAB.md.
scale: build
	.venv/bin/pearhill lab scale deploy/lab/scale/small.toml --json found/scale-small.json --report found/scale-small.html

sites:
	@for word in $(WORDS); do test -f $(KIT)/more/mass/other/$$word || \
	    { echo "make sites: $(KIT)/more/mass/other/$$word is missing: name the bench's folder with KIT=FOLDER"; exit 1; }; done
	@cp $(addprefix $(KIT)/more/mass/other/,$(WORDS)) deploy/sites/

clean:
	rm -rf .venv build *.egg-info .mypy_cache .ruff_cache .pytest_cache
