# VENV may name an environment that several checkouts share.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/requirements.stamp

.PHONY: env demo test lint format types measure soak edge-soak proto

env: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation --editable .
	touch $(STAMP)

demo: env
	PYTHONPATH=src:. $(PYTHON) -m tools.demo

test: env
	PYTHONPATH=src:. $(PYTHON) -m pytest

lint: env
	$(PYTHON) -m black --check --quiet src tools tests platform
	$(PYTHON) -m ruff check --quiet src tools tests platform

format: env
	$(PYTHON) -m black --quiet src tools tests platform
	$(PYTHON) -m ruff check --fix --quiet src tools tests platform

types: env
	$(PYTHON) -m mypy --no-error-summary

measure: env
	PYTHONPATH=src:. $(PYTHON) -m tools.measure

SECONDS ?= 60
SEED ?= 1
soak: env
	PYTHONPATH=src:. $(PYTHON) -m tools.soak --seconds=$(SECONDS) --seed=$(SEED)

FIRST ?= 1
LAST ?= 3
# Or stops, of NODES processes.
PROFILE ?= faults
edge-soak: env
	PYTHONPATH=src:.:platform $(PYTHON) -m tests.edge_soak $(FIRST) $(LAST) $(SECONDS) \
		--profile=$(PROFILE) $(if $(NODES),--nodes=$(NODES))

# Generated code is committed; run this only after a change to the .proto file.
proto: env
	$(PYTHON) -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src --grpc_python_out=src \
		src/tanagerworks/rpc/tanager.proto
	$(PYTHON) -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src src/tanagerworks/rpc/edge.proto
