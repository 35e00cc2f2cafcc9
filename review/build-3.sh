#!/bin/sh
# Builds the stand-ins of this review's scripts. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
