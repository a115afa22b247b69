# Set-up and the project's commands.  `make run` and `make test` are the two
# that a newcomer needs; both build the virtual environment on first use.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run run-gateway test lint format bench bench-relay bench-daemon bench-request bench-prompts bench-drawn soak binary lock clean

$(VENV)/.installed: requirements.lock pyproject.toml
	@echo "setting up $(VENV) with pinned dependencies"
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --no-deps --no-build-isolation --editable .
	@touch $@

run: $(VENV)/.installed
	$(BIN)/cranberrywick demo

run-gateway: $(VENV)/.installed
	$(BIN)/cranberrywick gateway-demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# One file that runs as one process; see docs/design/binary.md.
binary: $(VENV)/.installed
	$(BIN)/python scripts/build_binary.py --output dist/cranberrywick

bench: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench $(ARGS)

bench-relay: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench.relay $(ARGS)

lock: $(VENV)/.installed
	$(BIN)/pip-compile --quiet --extra dev --strip-extras --allow-unsafe \
	    --generate-hashes --no-emit-index-url --no-emit-trusted-host \
	    --no-emit-find-links --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist *.egg-info

bench-prompts: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench.prompts $(ARGS)

bench-drawn: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench.drawn_deployments $(ARGS)

soak: $(VENV)/.installed
	$(BIN)/python tests/gateway_soak.py $(ARGS)

bench-daemon: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench.fleet_news $(ARGS)

bench-request: $(VENV)/.installed
	$(BIN)/python -m cranberrywick.bench.request_path $(ARGS)
