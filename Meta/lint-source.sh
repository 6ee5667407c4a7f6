#!/usr/bin/env bash
# Runs the linter on one source file, unless the file has passed before with the
# same preprocessed text, the same .clang-tidy and the same clang-tidy version.
# Usage: Meta/lint-source.sh BUILD FILE
set -euo pipefail
build_directory=$1
file=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/lycheeseam-lint

command=$(jq -r --arg file "$PWD/$file" '.[] | select(.file == $file) | .command' "$build_directory/compile_commands.json" | head -1)
# -C keeps comments, since NOLINT comments change the linter's result.
preprocess=${command%% -o *}
key=$( { eval "${preprocess#*ccache } -E -C -P -fmacro-prefix-map=$PWD=. $file"; cat .clang-tidy; clang-tidy --version; echo "$file"; } | sha256sum | cut -d ' ' -f 1)
[ -e "$cache/$key" ] && exit 0
clang-tidy --quiet -p "$build_directory" "$file"
mkdir -p "$cache"
touch "$cache/$key"
