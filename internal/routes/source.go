package routes

import (
	"fmt"
	"net/http"
	"strings"
)

// Source is where a request's key, tenant, cost, id or deadline comes from. It is written "header:NAME", "path:NAME" with a wildcard of the
// route's pattern, or "fixed:TEXT". The zero value is no source.
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

// Header returns the source that reads a header.
func Header(name string) Source { return Source{fromHeader, http.CanonicalHeaderKey(name)} }

// MarshalText implements encoding.TextMarshaler.
func (s Source) MarshalText() ([]byte, error) {
	for word, kind := range sourceKinds {
		if s.kind == kind {
			return []byte(word + ":" + s.name), nil
		}
	}
	return []byte{}, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
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
	case kind == fromHeader && !isHeaderName(name):
		return fmt.Errorf("%q is not a valid header name", name)
	case kind == fromPath && !isName(name):
		return fmt.Errorf("%q is not a valid wildcard name", name)
	case kind == fixedText && (name == "" || hasControl(name)):
		return fmt.Errorf("%q is not a valid fixed text: it is empty or has control characters", name)
	case kind == fromHeader:
		name = http.CanonicalHeaderKey(name)
	}
	*s = Source{kind, name}
	return nil
}

// None reports whether the source is the zero value, which reads nothing.
func (s Source) None() bool { return s.kind == noSource }

// header returns the name of the header that the source reads, or an empty text if the source does not read a header.
func (s Source) header() string {
	if s.kind == fromHeader {
		return s.name
	}
	return ""
}

// value returns the value that the source has for a request, and whether it has one. path is the path as the pattern matched it.
func (s Source) value(pattern *Pattern, path string, header http.Header) (string, bool) {
	switch s.kind {
	case fromHeader:
		values := header[s.name]
		if len(values) == 0 {
			return "", false
		}
		return values[0], true
	case fixedText:
		return s.name, true
	case fromPath:
		return pattern.wildcardValue(s.name, path)
	}
	return "", false
}

// wildcardValue returns the part of a path that a wildcard of the pattern matches. The pattern must match the path. wildcardValue returns
// false if the wildcard is a multi wildcard that matches no byte.
func (p *Pattern) wildcardValue(name, path string) (string, bool) {
	remainder := path
	for _, s := range p.segments {
		if s.kind == multiWildcard {
			return remainder[1:], s.text == name && remainder != "/"
		}
		var value string
		value, remainder = cutSegment(remainder)
		if s.kind == wildcard && s.text == name {
			return value, true
		}
	}
	return "", false
}
