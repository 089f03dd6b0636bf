#!/bin/sh
# Builds what the scripts of the second review start, beside the deploy file's build: the stand-ins and the cases, in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-second ./review/testdata/second
