# Everything from a fresh clone with python3, pip and make.
#
#   make demo [KEEP=1]                    clone to served request
#   make test | lint | format
#   make measure                          the measurements of measure/
#   make explore [STATES=200000]         every order of events of a request
#   make soak [DURATION=60] [SEED=1]      random load and faults
#   make soak ON=platform                 the same on the users' platform
#   make load FILE=F [ENTRY=IP:PORT]      a file's load
#   make binds LOGS='F ...'              what a fleet's logs say of lost requests
#   make report [FIGURES=F] [RESULTS=F]   tables and plots of what was measured
#   make experiment FILE=F [OUT=DIR]      a file's load, faults and promises

SHELL := /bin/bash
BIN := .venv/bin
STAMP := .venv/.installed
REPORT_STAMP := .venv/.installed-report
PACKAGES := $(foreach name,model core daemon client standins,packages/$(name)) \
	platform
PROGRAMS := $(patsubst %/,%,$(sort $(dir $(wildcard measure/*.py scripts/*.py))))
SOURCES := packages platform tests $(PROGRAMS)
TYPED := $(PACKAGES:%=%/src) tests $(PROGRAMS)

KEEP ?=
DURATION ?= 60
SEED ?= 1
ON ?=
SOAK_ARGS ?=
STATES ?= 200000
FILE ?= examples/experiments/steady.ini
ENTRY ?=
OUT ?=
FIGURES ?=
RESULTS ?= $(wildcard results/*.json)
PLOTS ?=

LOGS ?=
BINDS_ARGS ?=

.PHONY: binds demo test lint format measure soak explore load experiment report

$(STAMP): constraints.txt pyproject.toml $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --no-build-isolation \
		$(PACKAGES:%=--editable ./%) --editable '.[dev]'
	touch $@

demo: $(STAMP)
	KEEP='$(KEEP)' $(BIN)/python scripts/demo.py

test: $(STAMP)
	$(BIN)/pytest $(ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(TYPED)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

measure: $(STAMP)
	$(BIN)/python measure/run.py $(ARGS)

soak: $(STAMP)
	$(BIN)/python scripts/$(if $(filter platform,$(ON)),platform_)soak.py \
		--duration '$(DURATION)' --seed '$(SEED)' $(SOAK_ARGS)

load: $(STAMP)
	$(BIN)/python scripts/load.py $(if $(ENTRY),'--entry=$(ENTRY)') '$(FILE)'

experiment: $(STAMP)
	$(BIN)/python scripts/experiment.py $(if $(OUT),'--out=$(OUT)') $(FILE)

binds: $(STAMP)
	$(BIN)/python scripts/what_binds.py $(BINDS_ARGS) $(LOGS)

explore: $(STAMP)
	$(BIN)/python scripts/explore.py --states '$(STATES)'

$(REPORT_STAMP): $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --no-build-isolation \
		--editable '.[report]'
	touch $@

report: $(if $(PLOTS),$(REPORT_STAMP),$(STAMP))
	$(BIN)/python measure/report.py $(if $(FIGURES),'--figures=$(FIGURES)') \
		'--out=$(or $(OUT),report)' $(RESULTS)
