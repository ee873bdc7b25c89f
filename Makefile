# Two commands do everything on a machine with Python 3.11 and make:
# `make test` and `make demo`. `make bench` measures.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo demo-nordland format bench

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[test]'
	touch $@

test: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest -q -n 4

demo: $(VENV)/installed
	$(BIN)/python scripts/demo.py --deployment deployments/bajio.yaml

demo-nordland: $(VENV)/installed
	$(BIN)/python scripts/demo.py --deployment deployments/nordland.yaml

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

$(VENV)/bench-installed: $(VENV)/installed
	$(BIN)/pip install -q -c constraints.txt -e '.[test,bench]'
	touch $@

bench: $(VENV)/bench-installed
	$(BIN)/python -m benchmarks
