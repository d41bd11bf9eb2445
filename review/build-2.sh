#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The relay itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness-2"
exec cargo build --release --locked --offline --target-dir target
