package routes

import (
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"orchiddrift/balancer"
)

// maxReadings is the maximum number of readings of a path that are compared.
const maxReadings = 16

// hasOneReading reports whether all servers read a path in the same way, apart from a trailing slash.
func hasOneReading(path string) bool {
	return !strings.ContainsAny(path, "%;") && !strings.Contains(path, "//") && !mayChangeCase(path)
}

// pathReadings returns the paths as which servers may read a path. The first one is the path decoded once, as this program reads it.
// targetPath has already rejected dot segments, encoded slashes and backslashes. The other readings are those of servers that do not
// decode or decode again, remove parameters after a semicolon, merge slashes, or ignore case. toggleTrailingSlash covers servers that
// ignore or expect a trailing slash.
func pathReadings(path string) []string {
	readings := decodedReadings(path)
	for _, transform := range []func(string) string{withoutParameters, mergeSlashes, strings.ToLower} {
		for _, reading := range slices.Clone(readings) {
			other := transform(reading)
			if other != reading && len(readings) < maxReadings && !slices.Contains(readings, other) {
				readings = append(readings, other)
			}
		}
	}
	return readings
}

// decodedReadings returns a path decoded once, unchanged, and decoded again.
func decodedReadings(path string) []string {
	readings := []string{path}
	text := path
	for round := range maxDecodings {
		decoded, err := url.PathUnescape(text)
		if err != nil || decoded == text {
			break
		}
		text = decoded
		if round == 0 {
			readings = []string{decoded, path}
		} else {
			readings = append(readings, decoded)
		}
	}
	return readings
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

// mayChangeCase reports whether a text has upper-case letters, or bytes of non-ASCII characters, which may be upper case.
func mayChangeCase(s string) bool {
	for i := range len(s) {
		if c := s[i]; c >= 'A' && c <= 'Z' || c >= utf8.RuneSelf {
			return true
		}
	}
	return false
}

// lessStrict reports whether a request of class a might run more often than class b allows.
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
