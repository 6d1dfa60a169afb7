PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: help setup demo test lint format soak edge-soak end-drill measure \
  slopes clean

help:
	@echo "make demo     show the whole system at work, within a minute"
	@echo "make test     run all tests"
	@echo "make lint     run the linter and the formatter check"
	@echo "make soak     long random faults: SEED=1 MINUTES=5"
	@echo "make edge-soak  the same for the edge fleet: SEED=1 SECONDS=60 SITE="
	@echo "make end-drill  ends of responses by framing: SEED=1 ROWS='no-length/*'"
	@echo "make measure  policies against baselines: build/measure.json"
	@echo "make slopes   what docs/CAPACITY.md is worked out from"

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m nose2 -t . -s tests

lint: $(STAMP)
	$(BIN)/flake8 galenaspoke standins bench spec tests
	$(BIN)/black --check --quiet galenaspoke standins bench spec tests

format: $(STAMP)
	$(BIN)/black --quiet galenaspoke standins bench spec tests

soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(or $(SEED),1) \
	  --minutes $(or $(MINUTES),5)

edge-soak: $(STAMP)
	$(BIN)/python -m bench.edge_soak --seed $(or $(SEED),1) \
	  --seconds $(or $(SECONDS),60) $(if $(SITE),--site $(SITE)) \
	  $(if $(ROUTERS),--routers $(ROUTERS)) \
	  $(if $(RELAYS),--relays $(RELAYS)) \
	  $(if $(ENGINES),--engines $(ENGINES)) \
	  $(if $(APPLICATIONS),--applications $(APPLICATIONS)) \
	  $(if $(CALLERS),--callers $(CALLERS))

end-drill: $(STAMP)
	$(BIN)/python -m bench.end_drill --seed $(or $(SEED),1) \
	  $(foreach row,$(ROWS),'$(row)')

measure: $(STAMP)
	$(BIN)/python -m bench.measure

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

clean:
	rm -rf build $(VENV)
