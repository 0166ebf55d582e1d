PYTHON ?= python3.11
SECONDS ?= 60
SEED ?= 1
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install run soak test lint format schema clean

install: $(STAMP)

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

run: install
	$(BIN)/coltsfoottrack demo

soak: install
	$(BIN)/python -m coltsfoottrack._internal.experiment.soak --seconds=$(SECONDS) --seed=$(SEED)

test: install
	$(BIN)/python -m tests

lint: install
	$(BIN)/black --check --quiet src tests examples
	$(BIN)/ruff check --quiet src tests examples

format: install
	$(BIN)/black --quiet src tests examples
	$(BIN)/ruff check --quiet --fix src tests examples

schema: install
	scripts/generate-schema

clean:
	rm -rf $(VENV) build src/*.egg-info
