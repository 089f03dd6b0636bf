package routes

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"unicode/utf8"
)

// maxDecodings is the maximum number of times that a target is decoded to find the paths that an upstream may read in it. A server behind
// another proxy may decode twice. The third round checks the path that results from the second decoding.
const maxDecodings = 3

// targetPath returns the path of a request target. It rejects every target that two servers may resolve to different paths: the class
// decides whether a request may be repeated, so it must be that of the path that any upstream reads (RFC 3986, sections 3.3 and 5.2.4).
// Table.Decide compares the remaining readings.
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

// checkUnambiguous returns an error if servers may resolve a path in different ways, unchanged or decoded up to maxDecodings times.
func checkUnambiguous(path string) error {
	for round := range maxDecodings {
		switch {
		case strings.ContainsAny(path, "\\"): // some servers read it as a slash
			return errors.New("the request target has a backslash")
		case strings.Contains(path, "#"): // some servers remove a fragment
			return errors.New("the request target has a #")
		case hasControl(path):
			return errors.New("the request target has a control character")
		case !utf8.ValidString(path): // such as overlong encodings of a dot or a slash
			return errors.New("the request target is not UTF-8")
		}
		for segment := range strings.SplitSeq(path, "/") {
			// Some servers remove path parameters, which follow a semicolon, first.
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
			if round > 0 { // only the text as received has to be a valid encoding
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
