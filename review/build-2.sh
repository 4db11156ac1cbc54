#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2, with the
# packages of the deploy file. Build the deploy file first: the cases start its
# programs.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)

objects=()
jobs=()
for source in review/rig/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done

for number in 6 7 8 9 10; do
  source=review/$number/Case.cpp
  [ ! -e "$source" ] ||
    g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json \
      -o "$out/case-$number"
done
