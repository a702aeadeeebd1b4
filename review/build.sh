#!/bin/sh
# Builds the stand-in that the scripts of all cases start. It uses only the packages of this repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
