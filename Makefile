# The commands a newcomer needs; CMake and Ninja do the work.
PACKAGES := $(shell sed -e 's/\#.*//' packages.txt)
BUILD ?= build
JOBS ?= $(shell nproc)
LAUNCHER := $(if $(shell command -v ccache),-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)

.PHONY: all deps build test demo capacity lint format models fuzz sanitize clean

all: build

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -q -y \
	  --no-install-recommends $(PACKAGES); }

build: deps
	@cmake -S . -B $(BUILD) -G Ninja $(LAUNCHER) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	$(BUILD)/ggd-demo

capacity: build
	docs/capacity.sh $(BUILD)

lint: build
	.ci/lint $(BUILD)

format:
	git ls-files '*.cpp' '*.hpp' | grep -v _generated | xargs clang-format -i

models: deps
	models/spin/check

fuzz: deps
	.ci/fuzz

sanitize: deps
	.ci/sanitize address
	.ci/sanitize thread

clean:
	rm -rf $(BUILD) build-*
