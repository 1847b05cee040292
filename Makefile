VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCE := PYTHONPATH=src

.PHONY: setup test lint format demo bench faults measure measure-times capacity clean

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

bench: setup
	$(SOURCE) $(BIN)/python -m ospreyford.measure.bench

faults: setup
	$(SOURCE) $(BIN)/python -m tests.faults

# The same tables at every run; times apart in measure-times.
measure: setup
	$(SOURCE) $(BIN)/python -m ospreyford.measure.placement
	$(SOURCE) $(BIN)/python -m ospreyford.measure.routing
	$(SOURCE) $(BIN)/python -m ospreyford.measure.limits
	$(SOURCE) $(BIN)/python -m ospreyford.measure.mapdrift

measure-times: setup
	$(SOURCE) $(BIN)/python -m ospreyford.measure.placement_timing
	$(SOURCE) $(BIN)/python -m ospreyford.measure.routing_timing
	$(SOURCE) $(BIN)/python -m ospreyford.measure.direct_timing
	$(SOURCE) $(BIN)/python -m ospreyford.measure.documents
	$(SOURCE) $(BIN)/python -m ospreyford.measure.distribution
	$(SOURCE) $(BIN)/python -m ospreyford.measure.membership
	$(SOURCE) $(BIN)/python -m ospreyford.measure.expertmap

# The figures of docs/CAPACITY.md, of this machine.
capacity: setup
	$(SOURCE) $(BIN)/python -m ospreyford.measure.capacity

clean:
	rm -rf $(VENV) build
