package routes

import (
	"net/url"
	"slices"
	"strings"

	"orchiddrift/balancer"
)

// maxReadings bounds how many ways a path is looked at.
const maxReadings = 16

// hasOneReading tells whether a path has one reading, but for its last slash.
func hasOneReading(path string) bool {
	return !strings.ContainsAny(path, "%;") && !strings.Contains(path, "//") && !mayChangeCase(path)
}

// pathReadings lists the paths that some server may take a path for, the first as this program does: decoded once. Dots,
// encoded slashes and backslashes have been turned down before (targetPath). What is left: servers that do not decode, or
// decode again; that cut off parameters behind a semicolon, fold slashes into one, or do not tell capitals from small
// letters. Those that look past the last slash, or expect it, are for toggleTrailingSlash.
func pathReadings(path string) (ways []string) {
	ways = append(ways, path)
	for text, round := path, 0; round < maxDecodings; round++ {
		decoded, err := url.PathUnescape(text)
		if err != nil || decoded == text {
			break
		}
		if text = decoded; round == 0 {
			ways = []string{text, path}
		} else {
			ways = append(ways, text)
		}
	}
	for _, of := range []func(string) string{withoutParameters, mergeSlashes, strings.ToLower} {
		for _, path := range ways[:len(ways):len(ways)] {
			if v := of(path); v != path && len(ways) < maxReadings && !slices.Contains(ways, v) {
				ways = append(ways, v)
			}
		}
	}
	return ways
}

func withoutParameters(path string) string {
	if !strings.Contains(path, ";") {
		return path
	}
	parts := strings.Split(path, "/")
	for i, part := range parts {
		parts[i], _, _ = strings.Cut(part, ";")
	}
	return strings.Join(parts, "/")
}

func mergeSlashes(path string) string {
	for strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}

func toggleTrailingSlash(path string) string {
	if len(path) > 1 && strings.HasSuffix(path, "/") {
		return path[:len(path)-1]
	}
	return path + "/"
}

func mayChangeCase(s string) bool {
	for i := range len(s) {
		if c := s[i]; c >= 'A' && c <= 'Z' || c >= 0x80 {
			return true
		}
	}
	return false
}

// lessStrict tells whether taking a request as class a could run it more often than class b, as which an upstream may read
// it, allows.
func lessStrict(a, b *balancer.Class) bool {
	switch {
	case a == b || a.Idempotency == balancer.NonIdempotent:
		return false
	case a.Idempotency == balancer.IdempotentWithKey && b.Idempotency == balancer.IdempotentWithKey:
		return a.DedupScope != b.DedupScope || a.DedupWindow != b.DedupWindow
	case a.Idempotency == balancer.IdempotentWithKey:
		return b.Idempotency == balancer.NonIdempotent
	}
	return b.Idempotency != balancer.Idempotent
}
