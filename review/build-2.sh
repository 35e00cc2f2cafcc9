#!/bin/sh
# Builds the stand-ins of the second review, with the compiler alone: they use no library but the standard one.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/trial review/standins-2/main.rs
