#!/usr/bin/env bash
# Builds the tests of the review and their stand-ins into target/review. The
# entry itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

output=target/review
mkdir -p "$output"
compile=(g++ -std=c++20 -O1 -Wall -Wextra -pthread)
pids=()
for source in review/common/*.cpp; do
  "${compile[@]}" -c "$source" -o "$output/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
pids=()
for source in review/[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${compile[@]}" "$source" "$output"/*.o -o "$output/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
