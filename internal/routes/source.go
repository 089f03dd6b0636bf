package routes

import (
	"fmt"
	"net/http"
	"strings"
)

// Source is where a request's key, tenant, cost, id or deadline comes from. It is written "header:NAME", "path:NAME" (a
// wildcard of the route's pattern) or "fixed:TEXT"; the zero value is nowhere.
type Source struct {
	kind sourceKind
	name string
}

type sourceKind int8

const (
	noSource sourceKind = iota
	fromHeader
	fromPath
	fixedText
)

var sourceKinds = map[string]sourceKind{"header": fromHeader, "path": fromPath, "fixed": fixedText}

// Header is the Source that a header is.
func Header(name string) Source { return Source{fromHeader, http.CanonicalHeaderKey(name)} }

// MarshalText writes it as it is read.
func (s Source) MarshalText() ([]byte, error) {
	for word, kind := range sourceKinds {
		if s.kind == kind {
			return []byte(word + ":" + s.name), nil
		}
	}
	return []byte{}, nil
}

// UnmarshalText reads it.
func (s *Source) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*s = Source{}
		return nil
	}
	word, name, ok := strings.Cut(string(text), ":")
	kind, known := sourceKinds[word]
	switch {
	case !ok || !known:
		return fmt.Errorf(`%q is none of "header:NAME", "path:WILDCARD", "fixed:TEXT" and ""`, text)
	case kind == fromHeader && (!isToken(name) || strings.Contains(name, "_")):
		return fmt.Errorf("%q is no usable header's name", name)
	case kind == fromPath && !isName(name):
		return fmt.Errorf("%q is no wildcard's name", name)
	case kind == fixedText && (name == "" || hasControl(name)):
		return fmt.Errorf("%q is no usable text", name)
	case kind == fromHeader:
		name = http.CanonicalHeaderKey(name)
	}
	*s = Source{kind, name}
	return nil
}

// None tells whether it is nowhere.
func (s Source) None() bool { return s.kind == noSource }

// header is the header that it reads, or nothing.
func (s Source) header() string {
	if s.kind == fromHeader {
		return s.name
	}
	return ""
}

// value reads it, and tells whether it is there.
func (s Source) value(p *Pattern, path string, h http.Header) (string, bool) {
	switch s.kind {
	case fromHeader:
		values := h[s.name]
		if len(values) == 0 {
			return "", false
		}
		return values[0], true
	case fixedText:
		return s.name, true
	case fromPath:
		left := path
		for _, seg := range p.segments {
			if seg.kind == multiWildcard {
				return left[1:], seg.text == s.name && left != "/"
			}
			var value string
			if value, left = cutSegment(left); seg.kind == wildcard && seg.text == s.name {
				return value, true
			}
		}
	}
	return "", false
}
