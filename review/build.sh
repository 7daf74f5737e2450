#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -C debuginfo=1 -o target/review/standins review/standins/main.rs
