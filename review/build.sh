#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml
