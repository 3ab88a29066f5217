#!/usr/bin/env bash
# The adapter as a process: it answers, flushes after each reply, and ends plainly on malformed input.
set -euo pipefail
drill=$1

answer=$(printf 'CLOCK\tnowNs=1\nCOMMIT\n\nCLOCK\tnowNs=2\nCOMMIT\n\n' | "$drill")
[ "$answer" = "$(printf 'END\nEND')" ] || { echo "unexpected reply: $answer"; exit 1; }

# The reply to a batch must come before the next batch is sent.
coproc DRILL { "$drill"; }
printf 'CLOCK\tnowNs=1\nCOMMIT\n\n' >&"${DRILL[1]}"
read -r -t 10 line <&"${DRILL[0]}"
[ "$line" = END ] || { echo "no reply before the next batch"; exit 1; }
eval "exec ${DRILL[1]}>&-"  # a descriptor in an array can be closed in no plainer way
wait "$DRILL_PID"

if trouble=$(printf 'CLOCK\tnowNs=1\nTIMER\ti=x\tcookie=1\nCOMMIT\n' | "$drill" 2>&1 >/dev/null); then
  echo "malformed input was taken"
  exit 1
fi
[ "$trouble" = "graniterun_drill: line 2: i is not a number of its type" ] || { echo "unexpected: $trouble"; exit 1; }
