#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. Needs no network after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
