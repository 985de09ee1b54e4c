#!/usr/bin/env bash
# Builds the stand-ins of the scripts that review/REPORT-3.md lists, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/*/Case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/case-$number"
done
