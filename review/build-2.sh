#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/build/second. Needs the deploy file's packages only.
set -e
cd "$(dirname "$0")"
mkdir -p build/second
for case in 6 7 8 9 10; do
    [ -f "$case/main.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/second/case$case" "$case/main.cpp" standin2/*.cpp
done
