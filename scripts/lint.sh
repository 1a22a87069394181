#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those named as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cpp' | grep -v '\.pb\.')
fi
# Those of tests/fuzz are built in a folder of their own, by scripts/fuzz.sh.
lint() { # BUILD FILE...
  local where=$1
  shift
  [ $# -eq 0 ] || printf '%s\0' "$@" |
    xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$where" \
      --extra-arg=-Wno-unknown-warning-option 2>/dev/null
}
product=() fuzz=()
for file in "${files[@]}"; do
  case $file in
    tests/fuzz/*) fuzz+=("$file") ;;
    *) product+=("$file") ;;
  esac
done
status=0
lint "$build" "${product[@]}" || status=1
lint "${FUZZ_BUILD_DIR:-build-fuzz}" "${fuzz[@]}" || status=1
exit $status
