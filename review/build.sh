#!/bin/sh
# Builds the stand-ins that the cases start, into bin/. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/testdata/standin
