#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2.
# Needs the packages of the deploy file only. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/Case2.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -pthread -Ireview/second "$source" \
    -o "target/review-2/case-$number"
done
