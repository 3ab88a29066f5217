#!/usr/bin/env bash
# Tests the simulator adapter as a process: it replies to each batch, flushes each reply, and exits with an error
# message on malformed input.
set -euo pipefail
drill=$1

reply=$(printf 'CLOCK\tnowNs=1\nCOMMIT\n\nCLOCK\tnowNs=2\nCOMMIT\n\n' | "$drill")
[ "$reply" = "$(printf 'END\nEND')" ] || { echo "unexpected reply: $reply"; exit 1; }

# The reply to a batch must come before the next batch is sent.
coproc DRILL { "$drill"; }
printf 'CLOCK\tnowNs=1\nCOMMIT\n\n' >&"${DRILL[1]}"
read -r -t 10 line <&"${DRILL[0]}"
[ "$line" = END ] || { echo "no reply before the next batch"; exit 1; }
eval "exec ${DRILL[1]}>&-"  # eval: bash can't close a descriptor held in an array directly
wait "$DRILL_PID"

if error=$(printf 'CLOCK\tnowNs=1\nTIMER\ti=x\tcookie=1\nCOMMIT\n' | "$drill" 2>&1 >/dev/null); then
  echo "malformed input was accepted"
  exit 1
fi
[ "$error" = "graniterun_drill: line 2: i is not a number of its type" ] || { echo "unexpected: $error"; exit 1; }
