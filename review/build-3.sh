#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=target/review-3
mkdir -p "$folder"
compile() {
  "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread "$@"
}

objects=()
for source in review/harness/*.cpp; do
  object=$folder/$(basename "$source" .cpp).o
  compile -c "$source" -o "$object"
  objects+=("$object")
done
for source in review/1[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  compile "$source" "${objects[@]}" -lboost_json -o "$folder/case-$number"
done
