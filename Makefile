# Commands for developers; each command sets up the environment that it needs.
PYTHON ?= python3
VENV := .venv
# Number of test files that run in parallel; each file uses its own ports.
TEST_JOBS ?= 4
STAMP := $(VENV)/.stamp
MANIFESTS := $(wildcard libs/*/pyproject.toml programs/*/pyproject.toml platform/pyproject.toml)

.PHONY: setup demo test check format bench

setup: $(STAMP)

$(STAMP): requirements.txt constraints.txt $(MANIFESTS)
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt -c constraints.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach manifest,$(MANIFESTS),-e $(dir $(manifest)))
	touch $@

demo: setup
	$(VENV)/bin/papayaspar-local demo

test: setup
	$(VENV)/bin/pytest -n $(TEST_JOBS) --dist loadfile

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: setup
	$(VENV)/bin/papayaspar-bench all
