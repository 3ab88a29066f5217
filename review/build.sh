#!/bin/sh
# Builds the stand-ins of the review cases into build/review. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Ireview/common "$case" -o "build/review/case$number"
done
