#!/usr/bin/env bash
# Builds the programs with AddressSanitizer and UndefinedBehaviorSanitizer and
# runs those process tests that feed them bad input and leaving callers. A
# daemon that leaks ends with an error, which fails the test.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=${SANITIZED_BUILD_DIR:-build-asan}
BUILD_TARGETS="celerybeamd celerybeamctl celerybeam-fakes" \
  scripts/build.sh -DCELERYBEAM_SANITIZE=address,undefined
export UBSAN_OPTIONS=halt_on_error=1
tests/process/processtests.sh "$PWD/$BUILD_DIR" bad_input_is_refused \
  caller_leaves_midstream sigterm_finishes_streams
