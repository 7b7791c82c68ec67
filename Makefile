VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: test lint format bench capacity demo fuzz clean

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

test: $(VENV)/.installed
	$(BIN)/python -m tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.installed
	$(BIN)/python -m bench

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

demo: $(VENV)/.installed
	$(BIN)/python -m examples.demo

fuzz: $(VENV)/.installed
	$(BIN)/python -m tests.fuzz $(SEED) $(COUNT)

clean:
	rm -rf $(VENV) build *.egg-info
