#!/usr/bin/env bash
# Fails when two headers define types of the same name: the namespace is one,
# and the linker would take one type's functions for the other's.
set -euo pipefail
cd "$(dirname "$0")/.."

# A template's specialisations are named by their arguments too.
doubled=$(git ls-files 'Libraries/*.h' 'platform/*.h' | grep -v /Generated/ |
  xargs grep -hoE '^(struct|class|enum class) [a-z_]+$' | sort | uniq -d)
if [ -n "$doubled" ]; then
  echo "check-type-names: defined in two headers:" >&2
  echo "$doubled" >&2
  exit 1
fi
echo "check-type-names: every type has a name of its own"
