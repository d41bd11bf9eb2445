#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; run from anywhere, without a network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-3/Cargo.toml \
    --target-dir target/review-3
