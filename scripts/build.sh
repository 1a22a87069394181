#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR). Extra arguments go to
# CMake, as in: scripts/build.sh -DCELERYBEAM_SANITIZE=address,undefined
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja "$@" >/dev/null
# BUILD_TARGETS limits the build to some targets.
# shellcheck disable=SC2086
cmake --build "$build" ${BUILD_TARGETS:+--target $BUILD_TARGETS}
