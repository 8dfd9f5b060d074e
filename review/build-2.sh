#!/bin/bash
# Builds the stand-ins and the programs of the cases of the second review into target/review-2. The
# build of deploy/service.toml has to be complete: its library provides the HTTP transport.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/harness)
libraries=(target/libgingerdrift_core.a -lspdlog -lfmt -luv -lhttp_parser -lpthread)
g++ "${flags[@]}" -c review/harness/harness.cpp -o "$out/harness.o"
pids=()
for source in review/harness/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" "$source" "$out/harness.o" "${libraries[@]}" -o "$out/$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
