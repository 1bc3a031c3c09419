# The three jobs of the README; each sets up all that it needs.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo serve test bench lint types unit functional explore soak format generate

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	    --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo

serve: $(STAMP)
	$(BIN)/python -m tools.serve

test: $(STAMP) lint types unit functional

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 --select=H src standins tests tools bench deploy

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest tests/unit

functional: $(STAMP)
	$(BIN)/python -m pytest tests/functional

# The state machines and histories, many more of them than CI runs.
explore: $(STAMP)
	ASPENFOLD_PROFILE=explore $(BIN)/python -m pytest tests/unit \
	    -m 'explores'

# Random faults around real processes, fresh seeds; SEEDS=1-50 for fixed.
soak: $(STAMP)
	$(BIN)/python -m tests.soak.main --seeds=$(SEEDS)

bench: $(STAMP)
	$(BIN)/python -m bench.main

format: $(STAMP)
	$(BIN)/ruff format .

# Needs the "generate" extra.
generate:
	PATH="$(BIN):$$PATH" tools/generate_rpc.sh
