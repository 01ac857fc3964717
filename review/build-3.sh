#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review into target/review-3. The build of the deploy
# file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-3/deployment.cpp -o "$out/deployment.o"
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/deployment.o" -o "$out/case-$number"
done
