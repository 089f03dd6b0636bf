package routes

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Pattern says which requests a route is for. It is written as the patterns of net/http are: [METHOD ][HOST]/PATH, where
// a segment {name} stands for any one segment, a last one {name...} for all that is left, a last slash for all that
// begins so, and {$} at the end for nothing more than that slash. Headers adds what some headers have to be, in
// whatever case.
type Pattern struct {
	Method   string // empty: any
	Host     string // empty: any; without a port, in small letters
	Headers  map[string]string
	segments []segment
	text     string
}

// segment is one part of the path.
type segment struct {
	text string // literal, or the wildcard's name; "" for a slash's rest without a name
	kind segmentKind
}

type segmentKind int8

const (
	literal       segmentKind = iota
	wildcard                  // any one segment
	multiWildcard             // all that is left, possibly nothing; last
	exactSlash                // {$}: the path ends with the slash before; last
)

func (p *Pattern) String() string { return p.text }

// Wildcards are the names that a path's parts get.
func (p *Pattern) Wildcards() (names []string) {
	for _, s := range p.segments {
		if s.kind != literal && s.text != "" {
			names = append(names, s.text)
		}
	}
	return names
}

const (
	maxPatternBytes = 2048 // bytes
	maxSegments     = 64
)

// ParsePattern reads a pattern.
func ParsePattern(text string, headers map[string]string) (*Pattern, error) {
	if len(text) > maxPatternBytes {
		return nil, fmt.Errorf("the pattern has %d bytes, %d at most", len(text), maxPatternBytes)
	}
	p := &Pattern{text: text}
	left := text
	if method, after, ok := strings.Cut(text, " "); ok {
		if !isToken(method) {
			return nil, fmt.Errorf("%q is no method", method)
		}
		if method != strings.ToUpper(method) {
			return nil, fmt.Errorf("%q: methods are in capitals", method)
		}
		p.Method, left = method, strings.TrimLeft(after, " ")
	}
	i := strings.IndexByte(left, '/')
	if i < 0 {
		return nil, errors.New("the path begins with a slash: [METHOD ][HOST]/PATH")
	}
	p.Host = left[:i]
	if strings.ContainsAny(p.Host, " {}:") || p.Host != strings.ToLower(p.Host) {
		return nil, fmt.Errorf("%q is no host: small letters, without a port", p.Host)
	}
	path := left[i:]
	if err := checkUnambiguous(path); err != nil {
		return nil, err
	}
	if strings.ContainsAny(path, "%? ") {
		return nil, errors.New("a pattern's path is written decoded, without %, ? and spaces")
	}
	names := map[string]bool{}
	parts := strings.Split(path[1:], "/")
	if len(parts) > maxSegments {
		return nil, fmt.Errorf("the pattern has %d segments, %d at most", len(parts), maxSegments)
	}
	for i, part := range parts {
		isLast := i == len(parts)-1
		s := segment{text: part}
		switch {
		case part == "" && isLast:
			s.kind = multiWildcard
		case part == "":
			return nil, errors.New("the pattern has an empty segment")
		case part == "{$}" && isLast:
			s = segment{kind: exactSlash}
		case part[0] == '{' && part[len(part)-1] == '}':
			s.kind, s.text = wildcard, part[1:len(part)-1]
			if name, ok := strings.CutSuffix(s.text, "..."); ok {
				s.kind, s.text = multiWildcard, name
				if !isLast {
					return nil, fmt.Errorf("%s is not the last segment", part)
				}
			}
			if !isName(s.text) {
				return nil, fmt.Errorf("%s: a wildcard's name has letters, digits and _", part)
			}
			if names[s.text] {
				return nil, fmt.Errorf("%s stands there twice", part)
			}
			names[s.text] = true
		case strings.ContainsAny(part, "{}"):
			return nil, fmt.Errorf("%s: a wildcard is a whole segment", part)
		}
		p.segments = append(p.segments, s)
	}
	p.Headers = make(map[string]string, len(headers))
	for name, value := range headers {
		if !isToken(name) || strings.Contains(name, "_") {
			return nil, fmt.Errorf("%q is no usable header's name", name)
		}
		if value == "" || value != strings.TrimSpace(value) || hasControl(value) {
			return nil, fmt.Errorf("header %s: %q is no usable value", name, value)
		}
		p.Headers[http.CanonicalHeaderKey(name)] = value
	}
	return p, nil
}

func isName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}
