#!/usr/bin/env bash
# Measures the raw data of docs/CAPACITY.md: runs the commands that measure its slopes, three times each, and stores
# their output with a header in docs/capacity/runs. Run `make capacity` afterwards.
#   bench/measure_capacity.sh [NAME...]      names from the list below; without any: those marked 'all'
# Each run is killed at its time limit, and no run starts that could end more than MOST seconds (default 480) after the
# start. The earlier runs of a command are deleted once its first new run is complete.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-build-bench}
runs=${RUNS:-3}
out=docs/capacity/runs
most_seconds=${MOST:-480}

# name | when | limit of a run in seconds | program | arguments; @name: a program among them
# Entries marked 'alone' measure wall-clock time or take long: run them by name, one at a time; scale with MOST=1500.
list='
control    | all   | 60  | graniterun_control_bench | discovery gaps announcer configuration figures
load       | all   | 60  | graniterun_load_bench    | @graniterun
membership | all   | 120 | graniterun_control_bench | membership membership_1000
added      | alone | 130 | graniterun_added_bench   | @graniterun
listed     | alone | 130 | graniterun_listed_bench  | @graniterun
scale      | alone | 480 | graniterun_scale_bench   | @graniterun @graniterun_distributor @graniterun_hollow 3000
'

trim() { sed 's/^ *//; s/ *$//' <<<"$1"; }
wanted=" $* "
for name in "$@"; do
  grep -q "^$name " <<<"$list" || { echo "measure_capacity: unknown name '$name'" >&2; exit 2; }
done

# Revision that was measured, followed by + if a source file differs from the commit.
revision=$(git rev-parse --short HEAD)
git diff --quiet HEAD -- src bench lab include CMakeLists.txt || revision="$revision+"
began=$SECONDS
mkdir -p "$out"
while IFS='|' read -r name when limit program arguments; do
  name=$(trim "$name") when=$(trim "$when") limit=$(trim "$limit") program=$(trim "$program") arguments=$(trim "$arguments")
  [ -n "$name" ] || continue
  if [ $# -eq 0 ]; then
    [ "$when" = all ] || continue
  else
    [[ "$wanted" == *" $name "* ]] || continue
  fi
  if [ ! -x "$bin/$program" ]; then
    echo "$name: skipped, $program is not built"
    continue
  fi
  for run in $(seq "$runs"); do
    if [ $((SECONDS - began + limit)) -gt "$most_seconds" ]; then
      echo "$name: run $run skipped, it could exceed the total time limit" >&2
      exit 1
    fi
    file=$out/$name.$run.txt
    status=0
    # shellcheck disable=SC2086
    timeout "$limit" "$bin/$program" ${arguments//@/$bin/} >"$file.new" 2>&1 </dev/null || status=$?
    {
      echo "# command: $program ${arguments//@/}"
      echo "# revision: $revision"
      echo "# status: $status; $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg)"
      cat "$file.new"
    } >"$file"
    rm -f "$file.new"
    # All runs of a command must come from one invocation and one revision.
    if [ "$run" -eq 1 ]; then find "$out" -name "$name.*.txt" ! -name "$name.1.txt" -delete; fi
    echo "$name: run $run, status $status, $((SECONDS - began)) s since the start"
    if [ "$status" -eq 124 ]; then
      echo "$name: killed after $limit s; its runs were deleted" >&2
      rm -f "$out/$name".*.txt
      exit 1
    fi
  done
done <<<"$list"
