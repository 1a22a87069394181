#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those named as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cpp' | grep -v '\.pb\.')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
