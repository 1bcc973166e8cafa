#!/usr/bin/env bash
# Builds the stand-ins of all scripts, with the compiler alone: no package is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/case_*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2021 -O -o "target/review/${name/_/-}" "$source"
done
