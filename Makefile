# Commands for developers; `make demo` and `make test` set up what they need.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED := 20260101

export PYTHONPATH := $(CURDIR)/src:$(CURDIR)
export PYTHONHASHSEED := 0

.PHONY: setup demo test format lint types unit features bench bench-routing bench-control bench-recovery bench-limits bench-quotas report soak wire clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(BIN)/python -m demo.run

test: setup lint types unit features

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m tests.known_red --seed $(SEED)

features: setup
	$(BIN)/behave --format progress tests/features

bench: setup
	$(BIN)/python -m bench.added_latency

bench-routing: setup
	$(BIN)/python -m bench.routing

bench-control: setup
	$(BIN)/python -m bench.control

bench-recovery: setup
	$(BIN)/python -m bench.recovery

bench-limits: setup
	$(BIN)/python -m bench.limits

bench-quotas: setup
	$(BIN)/python -m bench.quotas

report: setup
	$(BIN)/python -m bench.report journal --draw build/report

soak: setup
	$(BIN)/python -m tests.soak.run --seeds 1-6 --seconds 8 --jobs 2

wire: src/sesamevale/entries/wire.thrift
	thrift -gen py:slots -out src/sesamevale/entries $<

clean:
	rm -rf $(VENV) .hypothesis .mypy_cache .ruff_cache build dist
