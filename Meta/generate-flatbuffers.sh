#!/usr/bin/env bash
# Regenerates Libraries/LibPeer/Generated from the schema. The result is
# committed, so the build needs no generator. With --check, only compares the
# committed files with newly generated ones, and fails if they differ.
set -euo pipefail
cd "$(dirname "$0")/.."

schema=Libraries/LibPeer/Schema/PeerMessage.fbs
committed=Libraries/LibPeer/Generated
output=$committed
if [ "${1:-}" = --check ]; then
  output=$(mktemp -d)
  trap 'rm -rf "$output"' EXIT
fi
flatc --cpp --scoped-enums -o "$output" "$schema"
[ "$output" = "$committed" ] || diff -r "$committed" "$output"
