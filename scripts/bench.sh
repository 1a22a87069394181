#!/usr/bin/env bash
# Runs one of the measurements: scripts/bench.sh decisions|micro [options].
# Figures go into docs/MEASUREMENTS.md with the commit that gave them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
what=${1:-}
shift || true
case "$what" in
decisions | micro)
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" --target "bench_$what" >/dev/null
  exec "$build/bench/bench_$what" "$@"
  ;;
*)
  echo "usage: scripts/bench.sh decisions|micro [options]" >&2
  exit 2
  ;;
esac
