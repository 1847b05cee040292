VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCE := PYTHONPATH=src

.PHONY: setup test lint format demo bench faults measure clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev,measure]'
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

demo: setup
	$(SOURCE) $(BIN)/python -m ospreyford.standins.demo

faults: setup
	$(SOURCE) $(BIN)/python -m tests.faults

clean:
	rm -rf $(VENV) build
