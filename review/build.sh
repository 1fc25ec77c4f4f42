#!/bin/sh
# Builds the stand-ins of the scripts. Needs only the Rust compiler; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
