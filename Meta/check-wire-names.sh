#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/: its
# headers, as platform/WireNames.h lists them, its calls and its topics.
set -euo pipefail
cd "$(dirname "$0")/.."

# Headers of HTTP at large aren't the platform's own.
names=$(sed -n 's/^constexpr std::string_view k[A-Za-z]* = "\(.*\)";/\1/p' platform/WireNames.h |
  grep -vx 'Authorization\|Last-Event-Id\|Model\|Hold\|Tenant')
pattern=$(printf "%s\n" "$names" log-append log-newest log-read keyed.op keyed.servers kv_store_addr | paste -sd "|" -)
if found=$(grep -rnE "\"($pattern)|api/($pattern)" --include='*.h' --include='*.cpp' Libraries Services Utilities Bench); then
  echo "check-wire-names: names of the platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
echo "check-wire-names: none of $(printf '%s\n' "$names" | wc -l) headers stands outside platform/"
