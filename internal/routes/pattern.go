package routes

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Pattern is the set of requests that a route is for. It is written like the patterns of net/http: [METHOD ][HOST]/PATH, where a segment
// {name} matches any one segment, {name...} or a slash at the end any remainder, and {$} at the end only the end of the path. Headers are
// further conditions: the values, regardless of case, that headers must have.
type Pattern struct {
	Method   string // empty for any method
	Host     string // empty for any host; in lower case, without a port
	Headers  map[string]string
	segments []segment
	text     string
}

// segment is one segment of a pattern's path.
type segment struct {
	text string // the literal, or the wildcard's name; empty for a trailing slash
	kind segmentKind
}

type segmentKind int8

const (
	literal       segmentKind = iota
	wildcard                  // any one segment
	multiWildcard             // any remainder, possibly empty; the last segment
	exactSlash                // {$}: the path ends with the slash before it; the last segment
)

func (p *Pattern) String() string { return p.text }

// Wildcards returns the names of the path's wildcards.
func (p *Pattern) Wildcards() []string {
	var names []string
	for _, s := range p.segments {
		if s.kind != literal && s.text != "" {
			names = append(names, s.text)
		}
	}
	return names
}

// matchesMethod reports whether the pattern is for a method. GET includes HEAD, as in net/http.
func (p *Pattern) matchesMethod(method string) bool {
	return p.Method == "" || p.Method == method || p.Method == http.MethodGet && method == http.MethodHead
}

func (p *Pattern) matchesHeaders(header http.Header) bool {
	for name, value := range p.Headers {
		if !strings.EqualFold(header.Get(name), value) {
			return false
		}
	}
	return true
}

const (
	maxPatternBytes = 2048
	maxSegments     = 64
)

// ParsePattern parses a pattern and its conditions on headers.
func ParsePattern(text string, headers map[string]string) (*Pattern, error) {
	if len(text) > maxPatternBytes {
		return nil, fmt.Errorf("the pattern has %d bytes; the limit is %d", len(text), maxPatternBytes)
	}
	p := &Pattern{text: text}
	location, err := p.parseMethod(text)
	if err != nil {
		return nil, err
	}
	path, err := p.parseHost(location)
	if err != nil {
		return nil, err
	}
	if err := p.parsePath(path); err != nil {
		return nil, err
	}
	if err := p.parseHeaders(headers); err != nil {
		return nil, err
	}
	return p, nil
}

// parseMethod parses the method, if there is one, and returns what follows it.
func (p *Pattern) parseMethod(text string) (location string, err error) {
	method, location, ok := strings.Cut(text, " ")
	if !ok {
		return text, nil
	}
	if !isToken(method) {
		return "", fmt.Errorf("%q is not a method", method)
	}
	if method != strings.ToUpper(method) {
		return "", fmt.Errorf("%q: methods are written in upper case", method)
	}
	p.Method = method
	return strings.TrimLeft(location, " "), nil
}

// parseHost parses the host, if there is one, and returns the path.
func (p *Pattern) parseHost(location string) (path string, err error) {
	slash := strings.IndexByte(location, '/')
	if slash < 0 {
		return "", errors.New("the path must begin with a slash: [METHOD ][HOST]/PATH")
	}
	p.Host = location[:slash]
	if strings.ContainsAny(p.Host, " {}:") || p.Host != strings.ToLower(p.Host) {
		return "", fmt.Errorf("%q is not a host in lower case without a port", p.Host)
	}
	return location[slash:], nil
}

func (p *Pattern) parsePath(path string) error {
	if err := checkUnambiguous(path); err != nil {
		return err
	}
	if strings.ContainsAny(path, "%? ") {
		return errors.New("a pattern's path must be decoded, and must not contain %, ? or spaces")
	}
	parts := strings.Split(path[1:], "/")
	if len(parts) > maxSegments {
		return fmt.Errorf("the pattern has %d segments; the limit is %d", len(parts), maxSegments)
	}
	for i, part := range parts {
		s, err := parseSegment(part, i == len(parts)-1)
		if err != nil {
			return err
		}
		if s.kind != literal && s.text != "" && slices.Contains(p.Wildcards(), s.text) {
			return fmt.Errorf("wildcard %s occurs twice in the pattern", part)
		}
		p.segments = append(p.segments, s)
	}
	return nil
}

func parseSegment(part string, isLast bool) (segment, error) {
	switch {
	case part == "" && isLast:
		return segment{kind: multiWildcard}, nil
	case part == "":
		return segment{}, errors.New("the pattern has an empty segment")
	case part == "{$}" && isLast:
		return segment{kind: exactSlash}, nil
	case part[0] == '{' && part[len(part)-1] == '}':
		return parseWildcard(part, isLast)
	case strings.ContainsAny(part, "{}"):
		return segment{}, fmt.Errorf("%s: a wildcard must be a whole segment", part)
	}
	return segment{text: part}, nil
}

func parseWildcard(part string, isLast bool) (segment, error) {
	s := segment{kind: wildcard, text: part[1 : len(part)-1]}
	if name, ok := strings.CutSuffix(s.text, "..."); ok {
		s = segment{kind: multiWildcard, text: name}
		if !isLast {
			return segment{}, fmt.Errorf("wildcard %s must be the last segment", part)
		}
	}
	if !isName(s.text) {
		return segment{}, fmt.Errorf("%s: a wildcard's name must consist of letters, digits and _", part)
	}
	return s, nil
}

func (p *Pattern) parseHeaders(headers map[string]string) error {
	p.Headers = make(map[string]string, len(headers))
	for name, value := range headers {
		if !isHeaderName(name) {
			return fmt.Errorf("condition on headers: %q is not a valid header name", name)
		}
		if value == "" || value != strings.TrimSpace(value) || hasControl(value) {
			return fmt.Errorf("header %s: the condition's value %q must not be empty, have spaces around it or contain control characters", name, value)
		}
		p.Headers[http.CanonicalHeaderKey(name)] = value
	}
	return nil
}

// isName reports whether a text can be the name of a wildcard.
func isName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// isToken reports whether a text is a token of RFC 9110, as methods and the names of headers are.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// isHeaderName reports whether a text is the name of a header that every server reads in the same way. It must not contain _, because CGI
// does not distinguish _ and -.
func isHeaderName(s string) bool { return isToken(s) && !strings.Contains(s, "_") }
