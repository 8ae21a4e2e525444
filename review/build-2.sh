#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into
# target/review-2/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++20 -O1 -pthread -I tests \
  review/standin-2/main.cpp review/standin-2/cell.cpp \
  tests/soak/http.cpp tests/soak/store.cpp \
  -o target/review-2/cases
