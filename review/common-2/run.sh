#!/usr/bin/env bash
# Runs the driver of a case: run.sh CASE. Exit status: 1 broken, 0 held, 2 could not run.
set -u
case=$1
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
drive="build-review-2/drive-$case"
if [ -z "$run" ] || [ ! -x build/graniterun ] || [ ! -x "$drive" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
# The driver ends what it started, also at its limit.
timeout 115 "$drive" "$run" "$work" "$root/review/$case/record.txt"
status=$?
if [ -n "${KEEP:-}" ]; then echo "logs in $work"; else rm -rf "$work"; fi
[ "$status" -le 2 ] || status=2
exit "$status"
