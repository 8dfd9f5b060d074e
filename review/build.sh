#!/bin/bash
# Builds the stand-ins and cases of the review into target/review. Needs the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile="g++ -std=c++20 -O1 -Wall -Wextra -DMSGPACK_NO_BOOST -Isrc -Ireview"
pids=()
for source in review/*.cpp; do
  $compile -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for source in review/*/case.cpp; do
  $compile -c "$source" -o "target/review/case_$(basename "$(dirname "$source")").o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/*.cpp; do standins+=("target/review/$(basename "$source" .cpp).o"); done
for source in review/*/case.cpp; do
  name="case_$(basename "$(dirname "$source")")"
  g++ "target/review/$name.o" "${standins[@]}" target/libgingerdrift_core.a \
    -lspdlog -lfmt -luv -lhttp_parser -lpthread -o "target/review/$name"
done
