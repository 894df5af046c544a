#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
