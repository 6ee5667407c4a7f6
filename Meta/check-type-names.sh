#!/usr/bin/env bash
# Fails if two headers define types of the same name. All types share one
# namespace, and the linker would use the functions of one type for the other.
set -euo pipefail
cd "$(dirname "$0")/.."

# Template specialisations share a name; the pattern skips them, since their
# arguments follow the name.
doubled=$(git ls-files 'Libraries/*.h' 'platform/*.h' | grep -v /Generated/ |
  xargs grep -hoE '^(struct|class|enum class) [a-z_]+$' | sort | uniq -d)
if [ -n "$doubled" ]; then
  echo "check-type-names: types defined in more than one header:" >&2
  echo "$doubled" >&2
  exit 1
fi
echo "check-type-names: all type names are unique"
