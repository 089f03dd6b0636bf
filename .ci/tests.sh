#!/bin/sh
# All tests but those of KNOWN-RED.txt, then these by themselves: each is printed with its result, and the check goes on over them alone.
# A line is "./package TestName | cause | issue". Three lines at most; one without all of them, or whose test is not there, fails the check.
#   $1  -race, or nothing
set -eu
race=${1:-}
list=KNOWN-RED.txt
if [ ! -f "$list" ] || ! grep -q '[^[:space:]]' "$list"; then
	exec go test -count=1 -timeout 4m $race ./...
fi
fail() {
	echo "$list: $*" >&2
	exit 1
}
lines=$(grep '[^[:space:]]' "$list")
if [ "$(echo "$lines" | wc -l)" -gt 3 ]; then
	fail "more than three lines"
fi
wrong=$(echo "$lines" | awk -F'|' 'NF != 3 || $1 !~ /^[ \t]*\.\/[^ \t]+[ \t]+(Test|Fuzz)[A-Za-z0-9_]+[ \t]*$/ || $2 !~ /[^ \t]/ || $3 !~ /[0-9]/')
if [ -n "$wrong" ]; then
	fail "not a test, its cause and its issue: $wrong"
fi
tests=$(echo "$lines" | awk -F'|' '{split($1, t, " "); print t[1], t[2]}')
packages=$(echo "$tests" | cut -d' ' -f1 | sort -u)
echo "$tests" | while read -r package test; do
	if ! go test -list "^$test\$" "$package" | grep -qx "$test"; then
		fail "$package has no $test"
	fi
done
paths=$(go list $packages)
rest=$(go list ./... | grep -vxF "$paths" || true)
if [ -n "$rest" ]; then
	go test -count=1 -timeout 4m $race $rest
fi
for package in $packages; do
	skip=$(echo "$tests" | awk -v of="$package" '$1 == of {printf "%s%s", n++ ? "|" : "", $2}')
	go test -count=1 -timeout 4m $race -skip "^($skip)\$" "$package"
done
echo "$lines" | while IFS='|' read -r which cause issue; do
	set -- $which
	if said=$(go test -count=1 -timeout 4m $race -run "^$2\$" "$1" 2>&1); then
		echo "known red, green this time: $1 $2 |$cause|$issue"
	else
		echo "$said"
		echo "known red: $1 $2 |$cause|$issue"
	fi
done
