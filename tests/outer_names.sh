#!/usr/bin/env bash
# Checks that each name of docs/outer-names.txt occurs unchanged in a string of src, include or deploy: a rename inside
# the code must not change a message, a setting, a stored file, a flag or a metric.
# Usage: outer_names.sh SOURCE_DIR
set -euo pipefail
cd "$1"

# missing_names LIST: prints the names of LIST that occur in no string. A name matches a whole word of a string or a key
# of a deploy file; after `#literal` it matches any part of a string. Other lines that begin with # are comments.
# shellcheck disable=SC2016 # the single quotes hold an awk program
missing_names() {
  find src include deploy -name '*.cpp' -o -name '*.h' -o -name '*.toml' -o -name '*.json' | LC_ALL=C sort |
    xargs awk -v list="$1" '
      FILENAME ~ /\.(cpp|h)$/ {
        if ($0 ~ /^[ \t]*#include/) next
        sub(/(^|[ \t])\/\/.*/, "")
      }
      {
        if (FILENAME ~ /\.toml$/ && match($0, /^[A-Za-z_][A-Za-z0-9_.-]*/)) words[substr($0, RSTART, RLENGTH)] = 1
        rest = $0
        while (match(rest, /"(\\.|[^"\\])*"/)) {
          literal = substr(rest, RSTART + 1, RLENGTH - 2)
          rest = substr(rest, RSTART + RLENGTH)
          literals[literal] = 1
          count = split(literal, parts, /[][ \t,;()<>{}\\\047]+/)
          for (i = 1; i <= count; ++i) words[parts[i]] = 1
        }
      }
      END {
        while ((getline name < list) > 0) {
          if (name ~ /^#literal /) {
            name = substr(name, 10)
            found = 0
            for (literal in literals) if (index(literal, name)) { found = 1; break }
            if (!found) print name
          } else if (name != "" && name !~ /^#/ && !(name in words)) {
            print name
          }
        }
      }'
}

missing=$(missing_names docs/outer-names.txt)
[ "$(grep -vc '^#' docs/outer-names.txt)" -gt 800 ] || { echo "docs/outer-names.txt: fewer names than expected"; exit 1; }
if [ -n "$missing" ]; then
  echo "names that leave the process and occur in no string:"
  echo "$missing"
  exit 1
fi

# Tests the check itself: names that occur nowhere must be reported.
probe=$(mktemp)
trap 'rm -f "$probe"' EXIT
printf '%s\n' 'deadlineNs' 'deadlineNsOld' '#literal /known' '#literal /knownOld' >"$probe"
[ "$(missing_names "$probe")" = $'deadlineNsOld\n/knownOld' ] || { echo "a name that occurs nowhere is not reported"; exit 1; }
