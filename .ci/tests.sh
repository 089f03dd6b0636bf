#!/bin/sh
# All tests but those of KNOWN-RED.txt, then these by themselves: each is printed with its result, and the check goes on over them alone.
# A line is "./package TestName | command with its seed | what was seen | issue number", and there may be any number of them; a line without
# all four, or whose test is not there, fails the check.
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
wrong=$(echo "$lines" | awk -F'|' '
	NF != 4 ||
	$1 !~ /^[ \t]*\.\/[^ \t]+[ \t]+(Test|Fuzz)[A-Za-z0-9_]+[ \t]*$/ ||
	$2 !~ /go test .*seed/ ||
	$3 !~ /[A-Za-z]/ ||
	$4 !~ /^[ \t]*[0-9]+[ \t]*$/')
if [ -n "$wrong" ]; then
	fail "not a test, its command and seed, what was seen, and its issue: $wrong"
fi
tests=$(echo "$lines" | awk -F'|' '{split($1, t, " "); print t[1], t[2]}')
twice=$(echo "$tests" | sort | uniq -d)
if [ -n "$twice" ]; then
	fail "listed twice: $twice"
fi
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
echo "$lines" | while IFS='|' read -r which command seen issue; do
	set -- $which
	if said=$(go test -v -count=1 -timeout 4m $race -run "^$2\$" "$1" 2>&1); then
		result="green this time"
		if echo "$said" | grep -q "^--- SKIP: $2 "; then
			result="skipped here"
		fi
		echo "known red, $result: $1 $2 |$command|$seen|$issue"
	else
		echo "$said"
		echo "known red: $1 $2 |$command|$seen|$issue"
	fi
done
