#!/bin/bash
# Builds the harness of the cases 6 to 10, which holds all their stand-ins. It needs rustc only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/harness-2/main.rs
