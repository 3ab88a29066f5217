# The tasks of this project; CI runs .ci/run.
BUILD ?= build
TESTS ?= build-tests
SANITIZE = -Wall -Wextra -Werror -Wno-maybe-uninitialized -fsanitize=address,undefined -fno-sanitize-recover=all

.PHONY: build test lint run

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test:
	cmake -S . -B $(TESTS) -DGRANITERUN_BUILD_TESTS=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS="$(SANITIZE)"
	cmake --build $(TESTS) -j4
	ctest --test-dir $(TESTS) --output-on-failure -j4

lint:
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

# Needs RELAY_CONFIG; DEPLOY=deploy/broker.json also opens the SIP front.
run: build
	$(BUILD)/graniterun $(if $(DEPLOY),--deploy $(DEPLOY))
