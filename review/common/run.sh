#!/bin/sh
# Runs one case: common/run.sh FOLDER. Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
program="$PWD/build/review/case$(basename "$folder")"
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
if [ ! -x "$program" ] || [ ! -x build/graniterun ] || [ -z "$RUN_COMMAND" ]; then
  echo "run the deploy file's build command and review/build.sh first"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export CASE_TMP RUN_COMMAND
export RECORD="$folder/record.txt"
# The programs that it starts end with it.
timeout -k 2 110 "$program"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
