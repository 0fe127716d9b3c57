# Two commands set everything up: `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
export PYTHONPATH = src:.
export PYTHONDONTWRITEBYTECODE = 1

.PHONY: setup test lint format generated contracts binary demo faults bench ci

$(BIN)/.ready: requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements/dev.txt
	touch $@

setup: $(BIN)/.ready

test: setup dist/laburnumyard
	$(BIN)/python -m pytest

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix --quiet .

lint: setup
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8 src tests scripts demo bench

contracts: setup
	$(BIN)/lint-imports --no-cache

generated: setup
	$(BIN)/python scripts/generate.py --check

generate: setup
	$(BIN)/python scripts/generate.py

lock: setup
	$(BIN)/python scripts/lock.py

binary: dist/laburnumyard

dist/laburnumyard: $(BIN)/.ready requirements/run.txt $(shell find src/laburnumyard -name '*.py' -o -name '*.capnp')
	rm -rf build/site
	$(BIN)/pip install --quiet --require-hashes --requirement requirements/run.txt --target build/site
	cp -r src/laburnumyard build/site/
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site --entry-point laburnumyard.cli:main --python '/usr/bin/env python3.11' --compressed --output-file $@

faults: setup dist/laburnumyard
	$(BIN)/python -m scripts.faults

demo: setup
	$(BIN)/python -m demo

bench: setup
	$(BIN)/python -m bench
