#!/usr/bin/env bash
# Builds the fuzz targets with clang under AddressSanitizer and
# UndefinedBehaviorSanitizer and runs them: first every input that once failed
# (tests/fuzz/found), then new ones from the seeds (tests/fuzz/seeds), a bounded
# number of them with a fixed seed. Prints inputs tried and coverage.
#   scripts/fuzz.sh [--minutes M] [--seed S] [--coverage] [TARGET...]
# --minutes: each target for so long instead, with a seed of its own each time,
#   on a corpus that is kept in build-fuzz/corpus.
# --coverage: also the share of edges of src/relay that the corpus reaches.
# An input whose fault is not mended yet is named open-*; it must fail, in a way
# that KNOWN-RED.txt names for "fuzz/TARGET".
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FUZZ_BUILD_DIR:-build-fuzz}
seed=20261204
minutes=0
coverage=0
targets=()
while [ $# -gt 0 ]; do
  case $1 in
    --minutes) minutes=$2 seed=$(date +%s) && shift ;;
    --seed) seed=$2 && shift ;;
    --coverage) coverage=1 ;;
    *) targets+=("$1") ;;
  esac
  shift
done
# Inputs of a bounded run, by target: some ten seconds each.
declare -A runs=([answer]=4000 [caller]=4000 [connection]=5000 [events]=300000
                 [news]=8000 [pages]=4000 [rows]=50000 [settings]=15000)
# No single input takes longer, and no target more memory.
input_seconds=20
memory_mb=1500
[ ${#targets[@]} -gt 0 ] || mapfile -t targets < <(printf '%s\n' "${!runs[@]}" | sort)

scripts/install_packages.sh
# Assertions of libraries stay on, and lines for the reports.
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCELERYBEAM_FUZZ=ON \
  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" >/dev/null
cmake --build "$build" ${FUZZ_JOBS:+-j "$FUZZ_JOBS"} --target "${targets[@]/#/fuzz_}"
export UBSAN_OPTIONS=print_stacktrace=1

# What a log says of a failure, in a form that KNOWN-RED.txt can name.
signature() {
  sed -n -e 's/^ORACLE: //p' -e 's/.*Assertion .\(.*\). failed\.$/\1/p' \
    -e 's/^SUMMARY: .*\/\([^/ ]*:[0-9]*\):.*/\1/p' "$1" | head -1
}
known() { # TARGET LOG
  local what
  what=$(signature "$2")
  [ -n "$what" ] && grep "^fuzz/$1 " KNOWN-RED.txt | grep -qF -- "$what"
}

# Edges of src/relay, without its tests, that a run with -print_coverage reached.
relay_edges() {
  { grep -a 'COVERED_FUNC' "$1" | grep -a '/src/relay/' | grep -av '/src/relay/tests/' || true; } |
    sed -E 's/.*edges: ([0-9]+)\/([0-9]+) .*/\1 \2/' |
    awk '{ reached += $1; all += $2 }
         END { printf "  src/relay: %d of %d edges\n", reached, all }'
}

status=0
for target in "${targets[@]}"; do
  program=$build/tests/fuzz/fuzz_$target
  corpus=$build/corpus/$target
  log=$build/fuzz-$target.log
  # -reload=0: else what it reads again, and when, depends on the time.
  limits=(-reload=0 -timeout=$input_seconds -rss_limit_mb=$memory_mb)
  replayed=0
  for input in tests/fuzz/found/"$target"/*; do
    [[ -f $input && $input != *README* ]] || continue
    replayed=$((replayed + 1))
    failed=0
    "$program" "${limits[@]}" "$input" >"$log" 2>&1 || failed=1
    case $failed,$(basename "$input") in
      0,open-*) echo "passes again, name it without open-: $input" && status=1 ;;
      1,open-*)
        if known "$target" "$log"; then
          echo "known red: $input ($(signature "$log"))"
        else
          echo "FAILED otherwise than KNOWN-RED.txt says: $input" && status=1
        fi ;;
      1,*) echo "FAILED: $input ($(signature "$log"))" && status=1 ;;
    esac
  done
  # A bounded run starts from the seeds alone, so that it is the same each time.
  until=(-runs="${runs[$target]}")
  [ "$minutes" = 0 ] && rm -rf "$corpus"
  [ "$minutes" = 0 ] || until=(-max_total_time=$((minutes * 60)))
  mkdir -p "$corpus" "$build/finds/$target"
  failed=0
  # Comparisons of addresses are part of what guides it: the same each time.
  setarch -R "$program" "${limits[@]}" "${until[@]}" -seed="$seed" -print_final_stats=1 \
    -artifact_prefix="$build/finds/$target/" "$corpus" "tests/fuzz/seeds/$target" \
    >"$log" 2>&1 || failed=1
  tried=$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")
  reached=$(grep -oE 'cov: [0-9]+ ft: [0-9]+' "$log" | tail -1 || true)
  echo "$target: $tried inputs, ${reached:-no coverage}, seed $seed, $replayed replayed"
  if [ $failed = 1 ]; then
    tail -40 "$log"
    if known "$target" "$log"; then
      echo "known red: $target ($(signature "$log"))"
    else
      echo "FAILED: $target ($(signature "$log")); the input is in $build/finds/$target"
      status=1
    fi
  fi
  if [ $coverage = 1 ]; then
    "$program" "${limits[@]}" -runs=0 -print_coverage=1 "$corpus" \
      "tests/fuzz/seeds/$target" >"$log.coverage" 2>&1 || true
    relay_edges "$log.coverage"
  fi
done
exit $status
