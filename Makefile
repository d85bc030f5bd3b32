# build, test, lint and run, each in the virtual environment .venv
PYTHON ?= python3
CONFIG ?= deploy/example.json
BIN := .venv/bin

.PHONY: build test lint run demo clean

build: .venv/built
test: .venv/built-dev
	PATH="$(CURDIR)/$(BIN):$$PATH" ./test.sh

lint: .venv/built-dev
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

run: build
	LB_CONFIG="$(CONFIG)" exec $(BIN)/python -m oakvale serve

demo: build
	$(BIN)/python -m oakvale demo

clean:
	rm -rf .venv

$(BIN)/python:
	$(PYTHON) -m venv .venv

.venv/built: requirements.txt | $(BIN)/python
	$(BIN)/pip install -q -r requirements.txt
	touch $@

.venv/built-dev: requirements.txt requirements-dev.txt | $(BIN)/python
	$(BIN)/pip install -q -r requirements-dev.txt
	touch $@ .venv/built
