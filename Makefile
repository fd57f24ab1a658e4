# make demo | demo-up | demo-down | test | bench | bench-fair | bench-faults | bench-capacity |
#      soak | mutants | fuzz | lint | docs | install
BUILD ?= build
PREFIX ?= /usr/local
PACKAGES = gcc cmake ninja-build pkg-config libevent-dev libglib2.0-dev libprotobuf-c-dev \
	libjansson-dev libxxhash-dev libzstd-dev libargtable2-dev libcsv-dev check curl clang-format clang-tidy
SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v pb-c)

.PHONY: all deps demo demo-up demo-down test bench bench-fair bench-capacity bench-faults mutants soak soak-hosts lint format \
	docs install fuzz

all: deps
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null
	ninja -C $(BUILD) --quiet

# Installs missing packages; needs root if there are any.
deps:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then \
		apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $$missing >/dev/null; \
	fi

demo: all
	tools/demo.sh run

demo-up: all
	tools/demo.sh up

demo-down:
	tools/demo.sh down

test: all
	tools/run-tests.sh $(BUILD)

soak: all
	$(BUILD)/soak --seed $(or $(SEED),1) --steps $(or $(STEPS),100000)

# Soak test with real processes and injected faults; SEEDS sets the number of runs.
soak-hosts: all
	$(BUILD)/soak_hosts --seeds $(or $(SEEDS),10) $(if $(SEED),--seed $(SEED))

bench: all
	tools/bench.sh $(BUILD)

bench-fair: all
	$(BUILD)/bench_fair samples/traces bench-fair.csv

# Recovery times and lost requests for each kind of fault, with real processes; takes minutes.
bench-faults: all
	$(BUILD)/bench_faults

# Mutation tests: each mutant in tests/mutants.txt has to fail its test.
mutants: all
	tools/mutants.sh

bench-capacity: all
	$(BUILD)/bench_capacity

lint: all
	clang-format --dry-run -Werror $(SOURCES)
	tools/lint.sh $(BUILD)
	tools/make-docs.sh $(BUILD) --check

format:
	clang-format -i $(SOURCES)

# Pages generated from the code; CI checks that they are up to date.
docs: all
	tools/make-docs.sh $(BUILD)

install: all
	cmake --install $(BUILD) --prefix $(PREFIX)

fuzz:
	CC=clang cmake -S . -B build-fuzz -G Ninja -DWG_FUZZ=ON >/dev/null
	ninja -C build-fuzz fuzz_frame fuzz_csv fuzz_settings fuzz_sse
	tools/fuzz.sh build-fuzz
