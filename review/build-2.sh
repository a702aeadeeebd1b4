#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. It needs no network once the modules of the project are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin2
