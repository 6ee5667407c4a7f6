#!/usr/bin/env bash
# Runs the model checks listed in Tests/Models/models.txt, or only those named. A
# row that is expected to fail has a seeded fault, which the checker must find.
# Usage: Meta/model.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."

models=$PWD/Tests/Models
# Memory limit of a search in MB.
memory_limit=4000
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

check() {
  local name=$1 file=$2 expected=$3 end_states=$4 found
  local -a options=(-m200000)
  [ "$end_states" = checked ] || options+=(-E)
  shift 4
  cd "$scratch"
  spin -a "$@" "$models/$file" > spin.log 2>&1 || { cat spin.log; return 1; }
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_limit -o pan pan.c
  ./pan "${options[@]}" > pan.log 2>&1 || { tail -5 pan.log; return 1; }
  # A search that was stopped early proves nothing.
  if grep -q 'errors: 0' pan.log && ! grep -q 'Search not completed\|max search depth' pan.log; then
    found=holds
  elif grep -q 'assertion violated' pan.log; then
    found=fails
  else
    found=incomplete
  fi
  printf '%-24s %-10s expected %-6s %s states\n' "$name" "$found" "$expected" \
    "$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
  [ "$found" = "$expected" ]
}

failures=0
while read -r name file expected end_states flags; do
  case "$name" in '' | '#'*) continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  # Unquoted, so that each flag becomes a separate argument.
  # shellcheck disable=SC2086
  (check "$name" "$file" "$expected" "$end_states" $flags) || failures=$((failures + 1))
done < "$models/models.txt"
[ "$failures" -eq 0 ]
