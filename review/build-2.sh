#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review to target/review/standin-2. Needs
# only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/standin-2 review/standin-2/main.rs
