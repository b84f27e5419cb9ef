# Entry points for people and CI; CMake does the work.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = libasio-dev librestinio-dev libcurl4-openssl-dev libcli11-dev liblog4cplus-dev libboost-dev \
	libboost-test-dev libyaml-cpp-dev nlohmann-json3-dev libssl-dev libxxhash-dev ccache ninja-build cmake g++ clang-format clang-tidy

.PHONY: setup build test demo check-processes soak soak-short check-format format lint

# Installs the declared packages only where one is missing.
setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update -q && apt-get install -y -q $(PACKAGES))

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@.ci/run-tests $(BUILD)

demo: build
	$(BUILD)/basilbend demo

# Two minutes with real processes, one of them paused; not a part of CI.
check-processes: build
	tests/e2e/processes.sh $(BUILD)

# Three short runs of the soak with fixed seeds, as in CI; the second with deadly requests and releases of software, the third with endpoints
# whose responses are broken.
soak-short: build
	$(BUILD)/basilbend-soak --program $(BUILD)/basilbend --seed 1 --seconds 6
	$(BUILD)/basilbend-soak --program $(BUILD)/basilbend --seed 2 --seconds 6 --services 4 --deadly-interval 300 --release-interval 700
	$(BUILD)/basilbend-soak --program $(BUILD)/basilbend --seed 7002 --seconds 6 --services 4 --broken-endpoints 2

# All seeds that have ever failed. For fresh ones: basilbend-soak --program build/basilbend --seed N
soak: build
	grep -v '^#' tests/soak/seeds.txt | while read seed seconds cause; do \
		$(BUILD)/basilbend-soak --program $(BUILD)/basilbend --seed $$seed --seconds $$seconds || exit 1; done

check-format:
	clang-format --dry-run -Werror $$(git ls-files '*.h' '*.cpp')

format:
	clang-format -i $$(git ls-files -co --exclude-standard '*.h' '*.cpp')

lint: build
	git ls-files 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' | xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet 2>/dev/null
