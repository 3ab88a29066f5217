#!/usr/bin/env bash
# Raw outputs for docs/CAPACITY.md: runs the commands that measure its slopes, three times each, and keeps what
# they print under docs/capacity/runs with a head. Then: make capacity.
#   bench/measure_capacity.sh [NAME...]      names of the list below; without any: those marked 'all'
# Bounded: each run is ended after its limit, and none begins that could end later than MOST seconds (480) after
# the start. A command's earlier runs go when its first new one is whole.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-build-bench}
runs=${RUNS:-3}
out=docs/capacity/runs
most_seconds=${MOST:-480}

# name | when | limit of a run in seconds | program | arguments; @name: a program among them
# Those marked 'alone' take their time by the clock or longer than the rest: by their names, one at a time; scale
# with MOST=1500.
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
  grep -q "^$name " <<<"$list" || { echo "measure_capacity: there is no '$name' in its list" >&2; exit 2; }
done

# What was measured: the revision, and + where a source is not as it was committed.
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
    echo "$name: $program is not built, left out"
    continue
  fi
  for run in $(seq "$runs"); do
    if [ $((SECONDS - began + limit)) -gt "$most_seconds" ]; then
      echo "$name: run $run is left out, its time is over" >&2
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
    # All runs of a command are of one sitting and one revision.
    if [ "$run" -eq 1 ]; then find "$out" -name "$name.*.txt" ! -name "$name.1.txt" -delete; fi
    echo "$name: run $run, status $status, $((SECONDS - began)) s since the start"
    if [ "$status" -eq 124 ]; then
      echo "$name: was ended after $limit s; its runs are no use" >&2
      rm -f "$out/$name".*.txt
      exit 1
    fi
  done
done <<<"$list"
