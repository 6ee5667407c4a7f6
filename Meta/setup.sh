#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the tests and the checks need.
# Does nothing if all of them are installed.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < Meta/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "setup: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" > /dev/null
