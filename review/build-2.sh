#!/usr/bin/env bash
# Builds the stand-ins and test programs of the cases 6 to 8 into
# target/review-2. Needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=(review/standins-2/wire.cpp review/standins-2/store.cpp review/standins-2/fleet.cpp)
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
objects=()
for file in "${common[@]}"; do
  object=$out/$(basename "$file" .cpp).o
  g++ "${flags[@]}" -c "$file" -o "$object" &
  objects+=("$object")
done
wait
for program in slowreaders longheads staledrain; do
  g++ "${flags[@]}" "review/standins-2/$program.cpp" "${objects[@]}" -o "$out/$program"
done
