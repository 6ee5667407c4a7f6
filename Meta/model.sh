#!/usr/bin/env bash
# Checks the models in Tests/Models with spin: those that must hold, and those
# with a seeded fault, in which spin must find an error.
# Usage: Meta/model.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."

models=$PWD/Tests/Models
search_depth=100000
memory_limit_megabytes=4000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Compiles one row's verifier in a folder of its own and runs it.
check_model() {
  local name=$1 file=$2 flags=$3 expectation=$4
  local folder=$work/$name
  mkdir "$folder"
  cp "$models/$file" "$folder/model.pml"
  [ "$flags" != - ] || flags=
  (
    cd "$folder"
    spin -a $flags model.pml > spin.log || { cat spin.log; exit 1; }
    gcc -w -O2 -DSAFETY -DMEMLIM=$memory_limit_megabytes -o pan pan.c
    ./pan -E -n -m$search_depth > pan.log
  )
  if grep -qE 'search depth too small|out of memory|pan: reached -DMEMLIM' "$folder/pan.log"; then
    echo "model: $name: the search was cut short"
    return 1
  fi
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.log")
  local result=fails
  [ "$errors" != 0 ] || result=holds
  echo "model: $name: $result after $states states, expected: $expectation"
  [ "$result" = "$expectation" ]
}

failed=0
found=0
while read -r name file flags expectation; do
  [[ -n $name && $name != \#* ]] || continue
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  found=1
  check_model "$name" "$file" "$flags" "$expectation" || failed=1
done < "$models/models.txt"
[ $found = 1 ] || { echo "model: no row of that name" >&2; exit 2; }
exit $failed
