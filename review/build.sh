#!/usr/bin/env bash
# Builds the stand-ins of the scripts: one program, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
