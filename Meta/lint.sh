#!/usr/bin/env bash
# Checks the formatting and runs the linter. --fix formats in place; --since
# takes only files that differ from revision REV.
# Usage: Meta/lint.sh [--fix] [--format-only] [--since REV]
set -euo pipefail
cd "$(dirname "$0")/.."

build_directory=${LYCHEESEAM_BUILD:-Build/Default}
jobs=${LYCHEESEAM_JOBS:-$(nproc)}
fix=no
format_only=no
since=
while [ $# -gt 0 ]; do
  case "$1" in
    --fix) fix=yes ;;
    --format-only) format_only=yes ;;
    --since) since=$2; shift ;;
    *) echo "lint: unknown argument $1" >&2; exit 2 ;;
  esac
  shift
done

if [ -n "$since" ]; then
  mapfile -t files < <(git diff --name-only --diff-filter=d "$since" -- '*.cpp' '*.h' | grep -v /Generated/)
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v /Generated/)
fi
[ ${#files[@]} -gt 0 ] || exit 0

if [ "$fix" = yes ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run -Werror "${files[@]}"
fi
[ "$format_only" = no ] || exit 0

# Lints only sources that have an entry in compile_commands.json.
sources=()
for file in "${files[@]}"; do
  case "$file" in
    *.cpp) grep -q "/$file\"" "$build_directory/compile_commands.json" && sources+=("$file") ;;
  esac
done
[ ${#sources[@]} -gt 0 ] || exit 0
echo "lint: ${#sources[@]} sources"
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 1 -P "$jobs" Meta/lint-source.sh "$build_directory" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
