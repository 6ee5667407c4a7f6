#!/usr/bin/env bash
# Runs the benchmark programs and draws the plots. Tables go to standard output
# and to Results/, JSON and SVG to Results/.
# Usage: Meta/bench.sh [NAME...], such as Meta/bench.sh decisions
set -euo pipefail
cd "$(dirname "$0")/.."

build_directory=${LYCHEESEAM_BUILD:-Build/Default}
results=Results
mkdir -p "$results"

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for program in "$build_directory"/Bench/*/bench-*; do
    [ -x "$program" ] && [ -f "$program" ] && names+=("$(basename "$program" | sed 's/^bench-//')")
  done
fi

for name in "${names[@]}"; do
  program=$(echo "$build_directory"/Bench/*/"bench-$name")
  [ -x "$program" ] || { echo "bench: no program bench-$name in $build_directory/Bench" >&2; exit 2; }
  echo "bench: $name"
  "$program" --results "$results" | tee "$results/$name.md"
done

for plot in Meta/Plots/*.gnuplot; do
  data=$results/$(basename "$plot" .gnuplot).tsv
  # A plot is drawn only if its benchmark program has written the data.
  if [ -f "$data" ]; then
    gnuplot -c "$plot" "$data" "${data%.tsv}.svg"
  fi
done
