#!/bin/sh
# Builds the stand-ins of all cases, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
