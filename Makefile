# Every target first creates the virtual environment, so each works in a fresh checkout.
VENV := .venv
PY := $(VENV)/bin/python

.PHONY: venv test lint format types demo run run-platform bench soak check

venv: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt requirements-indirect.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements-dev.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e . || $(PY) -m pip install -q --no-deps -e .
	touch $@

format: venv
	$(PY) -m ruff format .

lint: venv
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

types: venv
	$(PY) -m mypy

test: venv
	$(PY) -m tools.run_tests

check: lint types test

demo: venv
	$(PY) -m tools.demo

run: venv
	$(PY) -m tools.launch

run-platform: venv
	$(PY) -m tools.run_platform

bench: venv
	$(PY) -m bench.main short

soak: venv
	$(PY) -m soak.main --fresh 10
