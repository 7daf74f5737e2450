#!/usr/bin/env bash
# Builds the program that the script of case 11 starts: it needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/case*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -C opt-level=2 -A dead_code -o "target/review-3/$name" "$source"
done
