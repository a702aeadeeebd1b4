#!/bin/sh
# Builds the stand-in of the scripts of the third review. The system itself is built as deploy/system.toml has it.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/standin3
