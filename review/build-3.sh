#!/bin/bash
# Builds the stand-ins of review/11 to review/15, those of the project that they start included. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
sources=(review/standins-3/cases.cpp review/standins-3/stage.cpp review/standins-3/process.cpp tests/soak/faultproxy.cpp
         tests/soak/storeserver.cpp tests/metadata/fakemetadatastore.cpp)
objects=()
for source in "${sources[@]}"; do
    object="target/review-3/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++17 -O1 -DASIO_STANDALONE -Isrc -Itests -Ireview/standins-3 -c "$source" -o "$object" &
done
for job in $(jobs -p); do
    wait "$job"
done
g++ -o target/review-3/cases "${objects[@]}" target/libbasilbend.a -lpthread -lcurl -lcrypto -lyaml-cpp -lxxhash -llog4cplus -lfmt -lhttp_parser
