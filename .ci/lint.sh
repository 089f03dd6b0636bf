#!/bin/sh
# Runs revive over all packages but for what lint-exclusions.txt lists: lines "folder rule" of what is not clean yet, where the rules on length
# are called test-... for tests. An exclusion that is no longer needed fails too, so that the list only shrinks.
set -eu
cd "$(dirname "$0")/.."
list=.ci/lint-exclusions.txt
found=$(mktemp)
trap 'rm -f "$found"' EXIT
# Built first: what the go command prints while it downloads is no finding, but everything that revive prints is one.
revive=$(go tool -n revive)
"$revive" -config .ci/revive.toml -formatter unix ./... >"$found" 2>&1 || true
awk -v list="$list" '
BEGIN {
	while ((getline line < list) > 0) {
		if (line !~ /^#/ && line ~ /[^ \t]/) excluded[line] = 1
	}
}
!/[^ \t]/ { next }
!/^[^ ]+\.go:[0-9]+(:[0-9]+)?: \[[a-z-]+\]/ { print; bad = 1; next }
{
	file = $1
	sub(/:.*/, "", file)
	folder = file
	sub(/\/[^\/]*$/, "", folder)
	rule = substr($2, 2, length($2) - 2)
	if (file ~ /_test\.go$/ && rule ~ /length/) rule = "test-" rule
	key = folder " " rule
	if (key in excluded) { used[key] = 1; next }
	print
	bad = 1
}
END {
	for (key in excluded) if (!(key in used)) { print list ": no longer needed: " key; bad = 1 }
	exit bad
}' "$found" >&2
