#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when the case couldn't
# run. TROUBLE=0 leaves out the kill.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-3/LostRemoval
[ -x "$program" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$program" "$folder/record.txt"
