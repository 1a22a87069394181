#!/usr/bin/env bash
# Shows that the soak finds a planted fault: scripts/plants.sh
# [--revision REV | --plant NAME] [--promise TEXT] [--seed N] [--seeds COUNT] [--scale K]
# [--jobs J]. Builds the gateway of HEAD with tests/soak/plants/NAME.patch, or
# that of REV as it is, in a scratch copy; runs this tree's rough soak with it
# for up to COUNT seeds and says at which the fault was found. Ends with 1 if it
# was not. With --promise only breaks of promises that begin with TEXT count.
set -euo pipefail
cd "$(dirname "$0")/.."
revision=HEAD plant='' promise='' seed=1 seeds=50 scale=1 jobs=3
while [ $# -gt 0 ]; do
  case $1 in
  --revision) revision=$2 ;;
  --plant) plant=$2 ;;
  --promise) promise=$2 ;;
  --seed) seed=$2 ;;
  --seeds) seeds=$2 ;;
  --scale) scale=$2 ;;
  --jobs) jobs=$2 ;;
  *)
    echo "unknown option $1; see the head of scripts/plants.sh" >&2
    exit 2
    ;;
  esac
  shift 2
done
build=${BUILD_DIR:-build}
[ -x "$build/tests/soak/celerybeam-soak" ] || scripts/build.sh
scratch=$(mktemp -d)
trap 'git worktree remove --force "$scratch/tree"; rm -rf "$scratch"' EXIT
git worktree add --quiet --detach "$scratch/tree" "$revision"
if [ -n "$plant" ]; then
  git -C "$scratch/tree" apply "$PWD/tests/soak/plants/$plant.patch"
fi
# The compiler cache then knows the files of one scratch copy in the next.
export CCACHE_BASEDIR=$scratch CCACHE_NOHASHDIR=1
{
  cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja
  cmake --build "$scratch/build" -j "$jobs" --target celerybeam-gateway
} >"$scratch/log" 2>&1 || {
  tail -20 "$scratch/log" >&2
  exit 2
}
export CELERYBEAM_GATEWAY=$scratch/build/platform/celerybeam-gateway
name=${plant:-$revision}
for ((i = seed; i < seed + seeds; ++i)); do
  status=0
  said=$("$build/tests/soak/celerybeam-soak" --seed "$i" --seconds 15 --rough \
    --scale "$scale" --rate $((60 * scale)) 2>&1) || status=$?
  grep -E '^(seed|BROKEN)' <<<"$said" || true
  [ $status -eq 0 ] && continue
  # A soak that could not run has found nothing.
  grep -q '^BROKEN' <<<"$said" || {
    echo "$said" >&2
    exit 2
  }
  grep -q "^BROKEN $promise" <<<"$said" || continue
  echo "$name: found at seed $i"
  exit 0
done
echo "$name: not found by seeds $seed to $((seed + seeds - 1))"
exit 1
