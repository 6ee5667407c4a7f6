#!/usr/bin/env bash
# Regenerates the Generated folders of the libraries from their schemas. The
# results are committed, so the build needs no generator. With --check, only
# compares the committed files with newly generated ones, and fails if they
# differ.
set -euo pipefail
cd "$(dirname "$0")/.."

for schema in Libraries/*/Schema/*.fbs; do
  committed=$(dirname "$(dirname "$schema")")/Generated
  output=$committed
  [ "${1:-}" != --check ] || output=$(mktemp -d)
  flatc --cpp --scoped-enums -o "$output" "$schema"
  [ "$output" = "$committed" ] || diff -r "$committed" "$output"
  [ "$output" = "$committed" ] || rm -r "$output"
done
