#!/usr/bin/env bash
# Runs one of the measurements: scripts/bench.sh decisions|micro|overhead [options].
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
overhead)
  # One engine without delays, asked directly and through an entry host.
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" --target bench_overhead celerybeamd celerybeamctl \
    celerybeam-fakes >/dev/null
  source scripts/cluster.sh
  SLOTS=1000
  ENGINE_OPTIONS="--queue 10000 --first-token-ms 0 --token-ms 0"
  trap cluster_stop EXIT
  cluster_start >/dev/null
  cp examples/quickstart/*.toml "$CLUSTER_DIR/"
  ctl apply --routes "$CLUSTER_DIR/routes.toml" --pools "$CLUSTER_DIR/pools.toml" \
    --wait >/dev/null
  cluster_wait_ready
  "$build/bench/bench_overhead" --key "$CUSTOMER_KEY" \
    --direct "http://${ENDPOINTS[ke1]}/v1/chat/completions" \
    --gateway "http://${CALLERS[k1]}/v1/chat/completions" "$@"
  ;;
*)
  echo "usage: scripts/bench.sh decisions|micro|overhead [options]" >&2
  exit 2
  ;;
esac
