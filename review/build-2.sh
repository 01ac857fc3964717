#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$source" \
        -o "target/review-2/$(basename "$source" .cpp).o"
done
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.cpp" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "review/$number/case.cpp" \
        target/review-2/*.o -o "target/review-2/case-$number"
done
