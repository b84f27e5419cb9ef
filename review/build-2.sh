#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread review/standins-2/*.cpp -o target/review-2/review-cases
