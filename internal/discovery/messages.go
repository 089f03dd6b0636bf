package discovery

import (
	"bytes"
	"errors"
)

// maxMessageBytes bounds one message: 20,000 upstreams of 800 bytes. The buffer grows to what arrives.
const maxMessageBytes = 16 << 20

var (
	errNotAnObject = errors.New("malformed list: not an object")
	errTruncated   = errors.New("malformed list: cut short")
)

// messageSplitter splits the body of a watch into messages. A message is a JSON object, on any number of lines, or an empty line, which
// is a heartbeat. Only the beginning and the end of objects are looked for.
//
// An empty line within an object means that the rest of the object is missing: no JSON encoder writes one, and without the check the
// next message would be swallowed.
type messageSplitter struct {
	offset         int // bytes of the present message that were scanned
	depth          int // open braces and brackets
	inObject       bool
	inString       bool
	escaped        bool // the byte before is a backslash within a string
	lineHasContent bool
}

// split is a bufio.SplitFunc. The token is the object, or empty for a heartbeat.
func (s *messageSplitter) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for ; s.offset < len(data); s.offset++ {
		c := data[s.offset]
		if s.inString {
			s.scanString(c)
			continue
		}
		switch c {
		case '\n':
			if !s.inObject {
				return s.endHeartbeat(data)
			}
			if !s.lineHasContent {
				return 0, nil, errTruncated
			}
			s.lineHasContent = false
			continue
		case ' ', '\t', '\r':
			continue
		}
		if !s.inObject && c != '{' {
			return 0, nil, errNotAnObject
		}
		if s.scanContent(c); s.depth == 0 {
			return s.endObject(data)
		}
	}
	if atEOF && s.inObject {
		return 0, nil, errTruncated
	}
	return 0, nil, nil
}

// scanString takes a byte within a string.
func (s *messageSplitter) scanString(c byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case c == '\\':
		s.escaped = true
	case c == '"':
		s.inString = false
	}
}

// scanContent takes a byte of an object, other than white space and the content of strings.
func (s *messageSplitter) scanContent(c byte) {
	s.inObject, s.lineHasContent = true, true
	switch c {
	case '"':
		s.inString = true
	case '{', '[':
		s.depth++
	case '}', ']':
		s.depth--
	}
}

// endHeartbeat ends an empty line at the present offset.
func (s *messageSplitter) endHeartbeat(data []byte) (advance int, token []byte, err error) {
	end := s.offset + 1
	*s = messageSplitter{}
	return end, data[:0], nil
}

// endObject ends an object at the present offset; the end of its line belongs to it.
func (s *messageSplitter) endObject(data []byte) (advance int, token []byte, err error) {
	end := s.offset + 1
	*s = messageSplitter{}
	for end < len(data) && (data[end] == '\r' || data[end] == ' ') {
		end++
	}
	if end < len(data) && data[end] == '\n' {
		end++
	}
	return end, bytes.TrimSpace(data[:end]), nil
}
