# One environment for every check; each target runs one of them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core node ctl standins
SEED ?= 1
TAGS ?= not @pending
NAME ?=
FEATURE ?=

.PHONY: test format lint names types unit features fix demo errors-page

test: $(STAMP)
	$(BIN)/python tools/check.py --seed=$(SEED)

$(STAMP): requirements/dev.lock $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements/dev.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),--editable packages/catkinreach-$(p))
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format --check .

lint: $(STAMP)
	$(BIN)/ruff check .

names: $(STAMP)
	$(BIN)/flake8 packages features tools

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/pytest

features: $(STAMP)
	$(BIN)/behave --define seed=$(SEED) --tags '$(TAGS)' $(if $(NAME),--name '$(NAME)') $(FEATURE)

fix: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

errors-page: $(STAMP)
	$(BIN)/python tools/write_errors_page.py

demo: $(STAMP)
	$(BIN)/python -m catkinreach_standins.demo
