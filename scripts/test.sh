#!/usr/bin/env bash
# Builds everything and runs all tests and scenarios.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j 6
