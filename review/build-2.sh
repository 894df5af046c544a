#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, which need the compiler and its standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/deck review/standins-2/main.rs
