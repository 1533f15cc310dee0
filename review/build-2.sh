#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness-2 review/harness-2/main.rs
