# make demo: installs what is needed, builds, and runs both users' set-ups and
# sessions on the prepared platform's stand-in.
# make test: the same, then passes the tests.
# make soak SEEDS=1-50: random faults on real processes, a run for each seed.

BUILD := build
JOBS := $(shell nproc)
SEEDS := 1-50

.PHONY: all packages build test demo bench soak mutants format lint clean

all: build

packages:
	tools/install_packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure --no-tests=error

demo: build
	python3 tools/demo.py $(BUILD)
	python3 tools/soak.py $(BUILD) --tour

bench: build
	$(BUILD)/fireflycart/bench/fireflycart-bench failover
	$(BUILD)/fireflycart/bench/fireflycart-bench acknowledgement
	$(BUILD)/fireflycart/bench/fireflycart-bench configuration
	$(BUILD)/fireflycart/bench/fireflycart-bench capacity
	$(BUILD)/fireflycart/bench/fireflycart-bench ranks --json=$(BUILD)/ranks.json
	python3 tools/plot_ranks.py $(BUILD)/ranks.json $(BUILD)/ranks.svg

soak: build
	python3 tools/soak.py $(BUILD) --seeds=$(SEEDS) --jobs=3

mutants: packages
	python3 tools/mutants.py

format:
	clang-format -i $$(git ls-files '*.h' '*.cc')

lint: build
	tools/lint.sh $(BUILD)

clean:
	cmake -E rm -rf $(BUILD)
