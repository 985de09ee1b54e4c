#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler that the deploy file names among its packages.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */scenario.cpp; do
    g++ -std=c++20 -O1 -pthread -I . -o "bin/case$(dirname "$source")" "$source"
done
