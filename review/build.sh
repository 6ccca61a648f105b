#!/bin/sh
# Builds the stand-ins of the cases with the tool chain alone: no dependency, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in routed_retry replaced_consumer foreign_cancel; do
    rustc --edition 2021 -O -o "target/review/$case" "review/standins/$case.rs"
done
