package routes

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"unicode/utf8"
)

// maxDecodings is how often a target is decoded in search of what an upstream might see in it. A server behind a proxy
// of its own may decode twice; the third round finds what was hidden for the second.
const maxDecodings = 3

// targetPath returns a request target's path. It turns down every target that two readers may resolve to different paths:
// the class decides whether a request may be repeated, so it must be what any upstream would read. RFC 3986 sections
// 3.3 and 5.2.4; what servers add to that is named below. Readings that remain are for Table.Decide to compare.
func targetPath(target string) (string, error) {
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return "", errors.New("the request target is not a path")
	}
	path, query, _ := strings.Cut(target, "?")
	if err := checkUnambiguous(path); err != nil {
		return "", err
	}
	if strings.ContainsAny(query, "#\\") || hasControl(query) {
		return "", errors.New("the request target's query has a character that belongs in none")
	}
	return path, nil
}

// checkUnambiguous looks at a path as it is written and as it reads once decoded, and again.
func checkUnambiguous(path string) error {
	for round := range maxDecodings {
		switch {
		case strings.ContainsAny(path, "\\"): // some servers take it for a slash
			return errors.New("the request target has a backslash")
		case strings.Contains(path, "#"): // begins a fragment, which has no place here; some cut the path there
			return errors.New("the request target has a #")
		case hasControl(path):
			return errors.New("the request target has a control character")
		case !utf8.ValidString(path): // overlong encodings of a dot or slash among it
			return errors.New("the request target is not UTF-8")
		}
		for segment := range strings.SplitSeq(path, "/") {
			// Some servers take off what follows a semicolon first, RFC 3986's path parameters.
			switch name, _, _ := strings.Cut(segment, ";"); name {
			case ".", "..":
				return errors.New("the request target has a dot segment")
			}
		}
		if !strings.Contains(path, "%") {
			return nil
		}
		decoded, err := url.PathUnescape(path)
		if err != nil {
			if round > 0 { // what was decoded only looks like an encoding
				return nil
			}
			return fmt.Errorf("the request target: %w", err)
		}
		if strings.Count(decoded, "/") != strings.Count(path, "/") {
			return errors.New("the request target has an encoded slash")
		}
		path = decoded
	}
	return nil
}

func hasControl(s string) bool {
	return strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}
