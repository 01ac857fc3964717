#!/usr/bin/env bash
# Builds the programs of all cases into review/bin/. Each contains its stand-ins; the nodes are those of
# the build of the deploy file. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    number=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/case-$number"
done
