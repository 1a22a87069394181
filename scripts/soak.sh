#!/usr/bin/env bash
# Soaks the real gateway under faults: scripts/soak.sh [--seed N] [--minutes M]
# [--seeds COUNT] [--scale K] [--rough 1]. Without --minutes, each of COUNT seeds
# from N on runs for 15 s. Prints a line for each seed, and all faults of one that
# fails. Rough: hosts paused in series, and hostile callers.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 minutes=0 seeds=1 scale=1 rough=0
while [ $# -gt 0 ]; do
  case $1 in
  --seed) seed=$2 ;;
  --minutes) minutes=$2 ;;
  --seeds) seeds=$2 ;;
  --scale) scale=$2 ;;
  --rough) rough=$2 ;;
  *)
    echo "unknown option $1; see the head of scripts/soak.sh" >&2
    exit 2
    ;;
  esac
  shift 2
done
build=${BUILD_DIR:-build}
[ -x "$build/tests/soak/celerybeam-soak" ] || scripts/build.sh
export CELERYBEAM_GATEWAY=$PWD/$build/platform/celerybeam-gateway
seconds=15
[ "$minutes" -gt 0 ] && seconds=$((minutes * 60))
extra=()
[ "$rough" = 1 ] && extra=(--rough)
status=0
for ((i = seed; i < seed + seeds; ++i)); do
  "$build/tests/soak/celerybeam-soak" --seed "$i" --seconds "$seconds" \
    --scale "$scale" --rate $((60 * scale)) "${extra[@]}" || status=1
done
exit $status
