#!/bin/sh
# The whole check: formatting, vet, linters, the deploy file's build, all tests but what KNOWN-RED.txt lists (.ci/tests.sh). Run from anywhere; needs Go and a C compiler.
#   --race   the tests under the race detector
#   --fleet  the tests that start hundreds of processes, and nothing else
set -eu
cd "$(dirname "$0")"
race=
case "${1:-}" in
"") ;;
--race) race=-race ;;
--fleet)
	exec go test -count=1 -timeout 20m -v -run 'ComeUp|Leaving|Restart' ./internal/testing/processes -fleet
	;;
*)
	echo "usage: test.sh [--race|--fleet]" >&2
	exit 2
	;;
esac
if ! command -v "$(go env CC)" >/dev/null; then
	echo "no C compiler ($(go env CC)): the deploy file's build links against the C library" >&2
	exit 1
fi
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt clean:" "$unformatted" >&2
	exit 1
fi
# What git leaves out is not there in a fresh clone, where everything seems to pass here.
if left=$(git ls-files --others --ignored --exclude-standard -- '*.go' 2>/dev/null) && [ -n "$left" ]; then
	echo "ignored by git:" "$left" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
.ci/lint.sh
# What only tests use is in no program.
if linked=$(go list -deps ./cmd/... | grep -xE 'testing|.*/internal/testing/.*'); then
	echo "linked into bin/:" $linked >&2
	exit 1
fi
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
test -n "$build"
sh -ec "$build"
bin/orchiddrift check deploy/grpc.example.json
bin/orchiddrift check deploy/operator.example.toml
bin/orchiddrift check deploy/eureka.example.toml
bin/orchiddrift check deploy/door.example.toml
bin/orchiddrift check deploy/graphql.example.toml
bin/orchiddrift check deploy/repeats.example.toml
.ci/tests.sh $race
