#!/bin/sh
# The whole check: formatting, vet, the deploy file's build, all tests. Run from anywhere; needs only Go.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt clean:" "$unformatted" >&2
	exit 1
fi
go vet ./...
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
test -n "$build"
sh -ec "$build"
go test -count=1 ./...
