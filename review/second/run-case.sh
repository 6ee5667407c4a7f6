#!/usr/bin/env bash
# Runs the program of one case: run-case.sh NUMBER. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/case-$1
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -x target/Services/lycheeseamd/lycheeseamd ] || {
  echo "build the deploy file first"
  exit 2
}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "review/$1" "$folder"
result=$?
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
