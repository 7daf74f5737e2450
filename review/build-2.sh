#!/usr/bin/env bash
# Builds the programs that the scripts of cases 6 to 10 start: they need the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -C opt-level=2 -A dead_code -o "target/review-2/$name" "$source"
done
