# Every target sets up what it needs: an ordinary python3 is enough.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test run bench experiments slopes lock clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

run: setup
	$(BIN)/python -m standins.demo

bench: setup
	$(BIN)/python -m bench.relay
	$(BIN)/python -m bench.idle

experiments: setup
	$(BIN)/python -m bench.experiments

slopes: setup
	$(BIN)/python -m bench.slopes

lock: setup
	$(BIN)/pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
