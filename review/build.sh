#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
compile=(g++ -std=c++20 -O1 -pthread -I.)
for source in standin/*.cpp [1-5]/*.cpp; do
    [ -e "$source" ] || continue
    "${compile[@]}" -c "$source" -o "build/$(echo "${source%.cpp}" | tr / -).o" &
    objects+=("$!")
done
for object in "${objects[@]}"; do
    wait "$object"
done
parts=(build/standin-net.o build/standin-store.o build/standin-modelserver.o build/standin-deployment.o)
"${compile[@]}" build/standin-server.o build/standin-net.o -o build/server
for main in build/[1-5]-*.o; do
    [ -e "$main" ] || continue
    "${compile[@]}" "$main" "${parts[@]}" -o "${main%.o}"
done
