#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
if [ ! -f target/libbasilbend.a ]; then
    cmake --build target --target basilbend -j6
fi
g++ -std=c++17 -O1 -Wall -Wextra -DASIO_STANDALONE -Isrc -Itests -Ireview -o review/build/cases \
    review/stand/*.cpp tests/metadata/fakemetadatastore.cpp target/libbasilbend.a \
    -lcurl -lcrypto -lyaml-cpp -lxxhash -llog4cplus -lfmt -lhttp_parser -lpthread
