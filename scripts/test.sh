#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests and scenarios. Tests that KNOWN-RED.txt
# names are run, printed and passed over; one that passes again is a failure
# until its entry goes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/install_packages.sh
scripts/build.sh
# Those of scripts/fuzz.sh are its own.
mapfile -t red < <(sed -n '/^fuzz\//d; s/^\([a-z][^ |]*\) *|.*/\1/p' KNOWN-RED.txt 2>/dev/null)
if [ ${#red[@]} -eq 0 ]; then
  exec ctest --test-dir "$build" --output-on-failure -j 6
fi
pattern="^($(IFS='|'; echo "${red[*]//./\\.}"))\$"
status=0
for name in "${red[@]}"; do
  if ctest --test-dir "$build" -R "^${name//./\\.}\$" --no-tests=error >/dev/null; then
    echo "passes again, take it out of KNOWN-RED.txt: $name"
    status=1
  else
    echo "known red: $name"
  fi
done
ctest --test-dir "$build" --output-on-failure -j 6 -E "$pattern"
exit $status
