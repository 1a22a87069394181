#!/usr/bin/env bash
# Checks the format of all sources; `--fix` rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' |
  xargs clang-format "${mode[@]}"
