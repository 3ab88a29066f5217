#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, in build-review-2, with the compiler of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in 6 7 8 9 10; do
  [ -f "review/$case/drive.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "build-review-2/drive-$case" "review/$case/drive.cpp" &
done
wait
