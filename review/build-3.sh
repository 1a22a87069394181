#!/usr/bin/env bash
# Builds the stand-ins and test programs of the cases 11 to 15 into
# target/review-3, with the libraries that the build of the deploy file has
# left in target/. Needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
mapfile -t archives < <(find target/src target/platform -name '*.a' | sort)
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I. -Isrc -Ireview/standins-3)
objects=()
for part in store world runner; do
  g++ "${flags[@]}" -c "review/standins-3/$part.cpp" -o "$out/$part.o" &
  objects+=("$out/$part.o")
done
for program in cutoffbookings crashingrequest burstagain; do
  g++ "${flags[@]}" -c "review/standins-3/$program.cpp" -o "$out/$program.o" &
done
wait
for program in cutoffbookings crashingrequest burstagain; do
  g++ "${flags[@]}" "$out/$program.o" "${objects[@]}" \
    -Wl,--start-group "${archives[@]}" -Wl,--end-group -lprotobuf -lxxhash \
    -o "$out/$program"
done
