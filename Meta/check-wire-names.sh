#!/usr/bin/env bash
# Fails if code outside platform/ contains a name of the users' platform: a
# header listed in platform/WireNames.h, a call or a topic.
set -euo pipefail
cd "$(dirname "$0")/.."

# Excludes names that are not specific to the platform.
names=$(sed -n 's/^constexpr std::string_view k[A-Za-z]* = "\(.*\)";/\1/p' platform/WireNames.h |
  grep -vx 'Authorization\|Last-Event-Id\|Model\|Hold\|Tenant')
pattern=$(printf "%s\n" "$names" log-append log-newest log-read keyed.op keyed.servers kv_store_addr | paste -sd "|" -)
if found=$(grep -rnE "\"($pattern)|api/($pattern)" --include='*.h' --include='*.cpp' Libraries Services Utilities Bench); then
  echo "check-wire-names: platform names found outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
echo "check-wire-names: none of $(printf '%s\n' "$names" | wc -l) headers is used outside platform/"
