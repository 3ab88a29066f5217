#!/usr/bin/env bash
# Checks the verbs, options and exit codes of the programs, which operators' scripts depend on.
# command_line_forms.sh GATEKEEPER CTL PUBLISHER DISTRIBUTOR
set -u
gatekeeper=$1
ctl=$2
publisher=$3
distributor=$4
failed=0

# expect STATUS COMMAND...: runs the command and checks its exit code.
expect() {
  local expected=$1
  shift
  env -u GRANITERUN_CONTROL -u GRANITERUN_DISTRIBUTORS -u RELAY_CONFIG "$@" > /dev/null 2>&1 < /dev/null
  local status=$?
  if [ "$status" -ne "$expected" ]; then
    echo "exit code $status, not $expected: $*"
    failed=1
  fi
}

# expect_options OPTIONS -- COMMAND...: checks that the command's help lists each option.
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

# Connections to the discard port of the loopback interface are refused.
unreachable=127.0.0.1:9
expect 2 "$ctl"
expect 2 "$ctl" gap
expect 2 "$ctl" gap announce x --to "$unreachable"
expect 2 "$ctl" gap announce x --to "$unreachable" --number 1 --one-in 5
expect 2 "$ctl" gap announce x --to "$unreachable" --number 1 --one-in 1s --cause 16
expect 2 "$ctl" config publish x --to "$unreachable"
expect 2 "$ctl" config publish x --to "$unreachable" --json-text '[]'
expect 2 "$ctl" config status 'no name' --to "$unreachable"
expect 3 "$ctl" gap announce x --to "$unreachable" --number 1 --one-in 1s
expect 3 "$ctl" gap lift x --to "$unreachable"
expect 3 "$ctl" gap list --to "$unreachable"
expect 3 "$ctl" fleet members --to "$unreachable"
expect 3 "$ctl" config publish x --to "$unreachable" --json-text '{}'
expect 3 "$ctl" config status --to "$unreachable"
expect 0 "$ctl" --help
expect 106 "$publisher"
expect 106 "$distributor"
expect 1 "$gatekeeper"
expect 1 env RELAY_CONFIG=/nonexistent "$gatekeeper"
exit "$failed"
