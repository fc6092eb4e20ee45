# Every target runs the set-up it needs. Requires Python 3.11, make and access
# to the package registry.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
BEHAVE_REPORT ?= build/behave.json

.PHONY: setup demo test bench soak schedules node-soak exchange-soak \
  mutations format lint types imports

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[plots,dev]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m verbenastream_testing.demo

test: setup
	$(BIN)/python -m verbenastream_testing.parallel_features \
	  $(BEHAVE_REPORT) $(SEED)

bench: setup
	$(BIN)/python -m bench.run

soak: setup
	$(BIN)/python -m behave --no-color --no-skipped \
	  --define seed=random features

FIRST ?= 0
LAST ?= 99
WORKLOAD ?= plain

# Runs seeded fault schedules against the job queue on virtual time; seeds are
# FIRST to LAST, WORKLOAD is plain, mixed, maintenance, moves or unplaceable.
schedules: setup
	$(BIN)/python -m verbenastream_testing.jobqueue.play \
	  --first $(FIRST) --last $(LAST) --workload $(WORKLOAD)

# Sends signals to real nodes at random; seeds are FIRST to LAST.
node-soak: setup
	PYTHONPATH=platform:. $(BIN)/python -m verbena_soak.soak \
	  --first $(FIRST) --last $(LAST)

# Replaces core machines of real nodes and loses disks; seeds are FIRST to LAST.
exchange-soak: setup
	PYTHONPATH=platform:. $(BIN)/python -m verbena_soak.exchange \
	  --first $(FIRST) --last $(LAST)

# Applies faults to the code one at a time; each must make a feature fail.
mutations: setup
	$(BIN)/python -m verbenastream_testing.mutations

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 verbenastream verbenastream_testing bench features platform

types: setup
	$(BIN)/mypy

imports: setup
	$(BIN)/python -m verbenastream_testing.import_check
