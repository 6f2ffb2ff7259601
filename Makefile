# The commands of this project. "make check" is what CI runs.
JOBS ?= $(shell nproc)

.PHONY: all packages build format lint test check demo measure slopes clean

all: build

packages:
	scripts/install_packages.sh

build: packages
	cmake -S . -B build -G Ninja >/dev/null
	cmake --build build -j $(JOBS)

format:
	scripts/format.sh check

lint: build
	JOBS=$(JOBS) scripts/lint.sh

test: build
	ctest --test-dir build --output-on-failure -j $(JOBS)

check: packages format build lint test

# Measures the slopes of docs/CAPACITY.md: modules in one process, then real daemons on loopback.
slopes: build
	build/sardinespoke-slopes
	scripts/measure_daemons.py --build build

clean:
	rm -rf build

demo: build
	scripts/demo.sh

# Policy measurements against the baselines, one JSON object per line, and a report with plots.
measure: build
	scripts/measure.sh
