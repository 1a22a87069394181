#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, from the sources beside
# this script and the libraries that the deploy file's build leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
libraries=()
for name in relay blackboard framework; do
  libraries+=("target/src/$name/libcelerybeam_$name.a")
done
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/standins)
g++ "${flags[@]}" -c review/standins/world.cpp -o "$out/world.o"
for source in review/standins/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = world ] && continue
  g++ "${flags[@]}" "$source" "$out/world.o" "${libraries[@]}" -lpthread \
    -o "$out/$name"
done
