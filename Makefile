PY := .venv/bin/python
STAMP := .venv/.installed

.PHONY: check demo demo-router bench slopes soak mutations format lint test

check: $(STAMP) lint test

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

format: $(STAMP)
	.venv/bin/ruff format -q beryllug

lint: $(STAMP)
	.venv/bin/ruff format -q --check beryllug
	.venv/bin/flake8 beryllug
	.venv/bin/mypy
	.venv/bin/lint-imports

test: $(STAMP)
	$(PY) -m beryllug.proofs.run_all

demo: $(STAMP)
	$(PY) -m beryllug.scripts.demo

demo-router: $(STAMP)
	$(PY) -m beryllug.scripts.router_demo

bench: $(STAMP)
	$(PY) -m beryllug.bench

slopes: $(STAMP)
	$(PY) -m beryllug.bench.slopes

SEED ?= 1
COUNT ?= 1
ROUTERS ?= 3

soak: $(STAMP)
	$(PY) -m beryllug.soak.run $(SEED) $(COUNT) $(ROUTERS)

mutations: $(STAMP)
	$(PY) -m beryllug.proofs.mutations
