package discovery

import (
	"bytes"
	"errors"
)

// maxMessageBytes is the maximum size of one message. It is large enough for a list of 20,000 upstreams with 800 bytes each.
const maxMessageBytes = 16 << 20

var (
	errNotAnObject = errors.New("malformed list: the message is not a JSON object")
	errTruncated   = errors.New("malformed list: the message is truncated")
)

// messageSplitter splits the body of a watch into messages. A message is a JSON object, on any number of lines, or an empty line, which
// is a heartbeat. The splitter only finds the beginning and the end of objects and does not validate them.
//
// An empty line within an object means that the rest of the object is missing, since JSON encoders do not write empty lines. Without this
// check, the next message would be read as part of the truncated message.
type messageSplitter struct {
	offset         int // number of scanned bytes of the current message
	depth          int // number of open braces and brackets
	inObject       bool
	inString       bool
	escaped        bool // the previous byte is an escaping backslash within a string
	lineHasContent bool
}

// split is a bufio.SplitFunc. The token is an object, or empty for a heartbeat.
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

// scanString processes a byte within a string.
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

// scanContent processes a byte of an object outside its strings, other than white space.
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

// endHeartbeat returns the empty token of a heartbeat, whose empty line ends at the current offset.
func (s *messageSplitter) endHeartbeat(data []byte) (advance int, token []byte, err error) {
	end := s.offset + 1
	*s = messageSplitter{}
	return end, data[:0], nil
}

// endObject returns the object that ends at the current offset. It also consumes the line end after the object, so that the line end is
// not taken for a heartbeat.
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
