#!/bin/sh
# Builds every stand-in that the cases review/6 to review/10 start. They use the standard library alone, so that nothing is
# fetched. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
