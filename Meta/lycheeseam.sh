#!/usr/bin/env bash
# Entry point for building, testing and measuring the project.
set -euo pipefail
cd "$(dirname "$0")/.."

export LYCHEESEAM_BUILD=${LYCHEESEAM_BUILD:-Build/Default}
export LYCHEESEAM_JOBS=${LYCHEESEAM_JOBS:-$(nproc)}

usage() {
  cat <<'TEXT'
Usage: Meta/lycheeseam.sh COMMAND
  demo       install, build, start stand-ins and two routers, send requests, stop
  test       install, build, lint, unit tests, scenarios, model checks
  build      install and build
  bench      run the benchmarks; print tables, write JSON and plots to Results/
  scenarios  run the scripted scenarios
  model      run the model checks
  lint       check formatting and run the linter
TEXT
}

build() {
  Meta/setup.sh
  echo "build: configuring $LYCHEESEAM_BUILD"
  cmake -S . -B "$LYCHEESEAM_BUILD" -G Ninja > "/tmp/lycheeseam-configure.$$" || { cat "/tmp/lycheeseam-configure.$$"; exit 1; }
  rm -f "/tmp/lycheeseam-configure.$$"
  echo "build: compiling"
  cmake --build "$LYCHEESEAM_BUILD" -j "$LYCHEESEAM_JOBS"
}

run_tests() {
  build
  echo "test: formatter and linter"
  Meta/lint.sh
  echo "test: unit tests, scenarios and model checks"
  Meta/run-tests.sh
}

command=${1:-}
[ $# -gt 0 ] && shift
case "$command" in
  build) build ;;
  test) run_tests ;;
  lint) Meta/lint.sh "$@" ;;
  demo) build; Meta/demo.sh "$@" ;;
  bench) build; Meta/bench.sh "$@" ;;
  scenarios) build; Meta/scenarios.sh "$@" ;;
  model) Meta/model.sh "$@" ;;
  *) usage; exit 2 ;;
esac
