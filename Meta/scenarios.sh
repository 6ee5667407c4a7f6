#!/usr/bin/env bash
# Runs the scripted scenarios, which start real processes.
# Usage: Meta/scenarios.sh [NAME-PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
ctest --test-dir "${LYCHEESEAM_BUILD:-Build/Default}" -R "^Scenarios\..*${1:-}" --output-on-failure --no-tests=error
