#!/usr/bin/env bash
# Installs the library, then builds the example from the README against the installed package and runs it.
set -euo pipefail
cmake=$1 source=$2 work=$3
shift 3
rm -rf "$work"
mkdir -p "$work/example"
"$cmake" -S "$source" -B "$work/build" -DCMAKE_INSTALL_PREFIX="$work/prefix" -DCMAKE_CXX_FLAGS="$*" \
  -DGRANITERUN_BUILD_GATEKEEPER=OFF
"$cmake" --build "$work/build" --target install
# The example's files are the README's code blocks marked cpp and cmake.
awk '/^```cpp$/ { on = 1; next } /^```$/ { on = 0 } on' "$source/README.md" > "$work/example/main.cpp"
awk '/^```cmake$/ { on = 1; next } /^```$/ { on = 0 } on' "$source/README.md" > "$work/example/CMakeLists.txt"
"$cmake" -S "$work/example" -B "$work/example/build" -DCMAKE_PREFIX_PATH="$work/prefix" -DCMAKE_CXX_FLAGS="$*"
"$cmake" --build "$work/example/build"
[ "$("$work/example/build/example")" = "set up at core server 1" ]
