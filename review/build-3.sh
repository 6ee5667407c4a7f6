#!/usr/bin/env bash
# Builds the programs of the cases of the third review into target/review-3.
# The release build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/third/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" "$source"
done
