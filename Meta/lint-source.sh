#!/usr/bin/env bash
# Runs the linter on one source, unless it has passed before with the same
# preprocessed text, settings and tool. Usage: Meta/lint-source.sh BUILD FILE
set -euo pipefail
build_directory=$1
file=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/lycheeseam-lint

command=$(jq -r --arg file "$PWD/$file" '.[] | select(.file == $file) | .command' "$build_directory/compile_commands.json" | head -1)
# Comments stay, since some of them are for the linter.
preprocess=${command%% -o *}
key=$( { eval "${preprocess#*ccache } -E -C -P -fmacro-prefix-map=$PWD=. $file"; cat .clang-tidy; clang-tidy --version; echo "$file"; } | sha256sum | cut -d ' ' -f 1)
[ -e "$cache/$key" ] && exit 0
clang-tidy --quiet -p "$build_directory" "$file"
mkdir -p "$cache"
touch "$cache/$key"
