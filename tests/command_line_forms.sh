#!/usr/bin/env bash
# The programs' verbs, options and exit codes: what operators' scripts rest on.
set -u
gatekeeper=$1
ctl=$2
publisher=$3
distributor=$4
failed=0

# expect STATUS COMMAND...: runs the command and compares its exit code.
expect() {
  local wanted=$1
  shift
  env -u GRANITERUN_CONTROL -u GRANITERUN_DISTRIBUTORS -u RELAY_CONFIG "$@" > /dev/null 2>&1 < /dev/null
  local status=$?
  if [ "$status" -ne "$wanted" ]; then
    echo "exit code $status, not $wanted: $*"
    failed=1
  fi
}

# expect_options OPTIONS -- COMMAND...: each option stands in the command's help.
expect_options() {
  local options=()
  while [ "$1" != "--" ]; do
    options+=("$1")
    shift
  done
  shift
  local help
  help=$("$@" --help) || failed=1
  for option in "${options[@]}"; do
    if ! grep -q -- "$option" <<< "$help"; then
      echo "no $option in the help of: $*"
      failed=1
    fi
  done
}

expect_options --to --json --by --version --within --number --prefix --class --one-in --each-number --percent \
  --for --in --cause --words -- "$ctl" gap announce
expect_options --to --json --by --version --within -- "$ctl" gap lift
expect_options --to --json --within -- "$ctl" gap list
expect_options --to --json --for -- "$ctl" gap watch
for verb in members view leave; do
  expect_options --to --json --within -- "$ctl" fleet "$verb"
done
expect_options --to --json --for -- "$ctl" fleet watch
expect_options --to --within --json --file --json-text --wait-for -- "$ctl" config publish
expect_options --to --within --json -- "$ctl" config status
expect_options --listen --gatekeeper --file --name -- "$publisher"
expect_options --listen --peer --dir --key-file --name --advertise --connections --bytes-per-second -- "$distributor"

# Nobody listens on the discard port of loopback.
nobody=127.0.0.1:9
expect 2 "$ctl"
expect 2 "$ctl" gap
expect 2 "$ctl" gap announce x --to "$nobody"
expect 2 "$ctl" gap announce x --to "$nobody" --number 1 --one-in 5
expect 2 "$ctl" gap announce x --to "$nobody" --number 1 --one-in 1s --cause 16
expect 2 "$ctl" config publish x --to "$nobody"
expect 2 "$ctl" config publish x --to "$nobody" --json-text '[]'
expect 2 "$ctl" config status 'no name' --to "$nobody"
expect 3 "$ctl" gap announce x --to "$nobody" --number 1 --one-in 1s
expect 3 "$ctl" gap lift x --to "$nobody"
expect 3 "$ctl" gap list --to "$nobody"
expect 3 "$ctl" fleet members --to "$nobody"
expect 3 "$ctl" config publish x --to "$nobody" --json-text '{}'
expect 3 "$ctl" config status --to "$nobody"
expect 0 "$ctl" --help
expect 106 "$publisher"
expect 106 "$distributor"
expect 1 "$gatekeeper"
expect 1 env RELAY_CONFIG=/nonexistent "$gatekeeper"
exit "$failed"
