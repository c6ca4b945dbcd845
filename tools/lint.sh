#!/usr/bin/env bash
# Checks format and lint of all C++ files. Usage: lint.sh BUILD_DIRECTORY
set -euo pipefail
build=$1

mapfile -t files < <(git ls-files '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files '*.cc' | grep -v '^examples/')
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
