VENV ?= .venv
PYTHON ?= python3
TEST_WORKERS ?= 4
BIN := $(VENV)/bin
export PYTHONPATH := src
export UV_USE_IO_URING := 0
export PYTHONHASHSEED := 0

.PHONY: setup demo test check format lint types binary bench soak fuzz clean

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(BIN)/python -m lovageyoke demo

test: setup dist/lovageyoke
	$(BIN)/python -m pytest --numprocesses $(TEST_WORKERS) \
		--dist loadfile

check: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

clean:
	rm -rf build dist .mypy_cache .pytest_cache .ruff_cache .hypothesis

build/site/.ready: $(VENV)/.ready requirements.lock pyproject.toml
	rm -rf build/site
	$(BIN)/python -m pip install --quiet --target build/site \
		--no-build-isolation --constraint requirements.lock .
	rm -rf build/site/lovageyoke build/site/lovageyoke-*
	touch $@

dist/lovageyoke: build/site/.ready $(shell find src -name '*.py')
	mkdir -p dist
	$(BIN)/shiv --quiet --console-script lovageyoke \
		--python '/usr/bin/env python3' --site-packages build/site \
		--output-file $@ --no-deps --no-build-isolation .

binary: dist/lovageyoke
