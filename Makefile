MAKEFLAGS += --no-print-directory
# Entry points; CMake does the building. Run `make setup` on a fresh machine
# (demo and test call it themselves).
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake make gcc clang clang-format clang-tidy libclang-rt-14-dev \
	pkg-config libulfius-dev libmicrohttpd-dev libcurl4-gnutls-dev libevent-dev \
	libmsgpack-dev libglib2.0-dev libjson-glib-dev libxxhash-dev \
	libcsv-dev libcmocka-dev
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h')
FUZZ_SECONDS ?= 60
FUZZ_RUNS ?= 20000
SOAK_SEEDS ?= 50

.PHONY: all setup build demo test chaos soak bench fuzz fuzz-build fuzz-fixed format \
	format-check lint check-all

all: build

setup:
	@sh scripts/setup.sh $(PACKAGES)

build:
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)

demo: setup build
	@bash scripts/demo.sh $(BUILD)

test: setup build fuzz-fixed
	@ctest --test-dir $(BUILD) --output-on-failure -j4
	@echo "the same with address and undefined-behaviour sanitizers:"
	@ctest --test-dir build-fuzz --output-on-failure -j4

chaos: setup build
	@bash scripts/chaos.sh $(BUILD) --seed 1 --seconds 40

# The system's processes under random faults; a seed a run, two at a time.
soak: setup build
	@seq $(SOAK_SEEDS) | xargs -P2 -I{} $(BUILD)/soak --seed {} \
		--record $(BUILD)/soak-{}.txt

bench: setup build
	@sh scripts/bench.sh $(BUILD)

fuzz-build:
	@CC=clang cmake -S . -B build-fuzz -DWWH_FUZZ=ON >/dev/null
	@cmake --build build-fuzz -j$(JOBS)

# Long runs; the seed is printed. FUZZ_SECONDS a target.
fuzz: setup fuzz-build
	@sh scripts/fuzz.sh long build-fuzz $(FUZZ_SECONDS)

# A fixed number of runs with a fixed seed and the committed corpus.
fuzz-fixed: setup fuzz-build
	@sh scripts/fuzz.sh fixed build-fuzz $(FUZZ_RUNS)

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@sh scripts/lint.sh $(BUILD) $(JOBS)
