package discovery

import (
	"bytes"
	"errors"
)

// maxMessage bounds one message: 20,000 upstreams with 800 bytes each. The buffer grows to what comes.
const maxMessage = 16 << 20

var (
	errNoObject = errors.New("malformed list: not an object")
	errCut      = errors.New("malformed list: cut short")
)

// messages returns a bufio.SplitFunc for a watch: each token is a JSON object whole, however many lines it is written on, or an
// empty line, which is a sign of life. Only where objects begin and end is looked at. An empty line inside of one says that its rest
// is missing: nothing that writes JSON writes one, and the next message would be swallowed with it.
func messages() func(data []byte, atEOF bool) (int, []byte, error) {
	var (
		at             int // of what has been looked at, from the token's first byte on
		depth          int
		text, escaped  bool
		begun, content bool // the object has; this line has anything
	)
	return func(data []byte, atEOF bool) (int, []byte, error) {
		for ; at < len(data); at++ {
			c := data[at]
			if text {
				switch {
				case escaped:
					escaped = false
				case c == '\\':
					escaped = true
				case c == '"':
					text = false
				}
				continue
			}
			switch c {
			case '\n':
				if !begun {
					n := at + 1
					at, content = 0, false
					return n, data[:0], nil
				}
				if !content {
					return 0, nil, errCut
				}
				content = false
				continue
			case ' ', '\t', '\r':
				continue
			case '"':
				text = true
			case '{', '[':
				depth++
			case '}', ']':
				depth--
			}
			if content = true; !begun && c != '{' {
				return 0, nil, errNoObject
			}
			if begun = true; depth == 0 {
				n := at + 1
				at, begun, content = 0, false, false
				for n < len(data) && (data[n] == '\r' || data[n] == ' ') {
					n++
				}
				if n < len(data) && data[n] == '\n' { // its own line's end
					n++
				}
				return n, bytes.TrimSpace(data[:n]), nil
			}
		}
		if atEOF && begun {
			return 0, nil, errCut
		}
		return 0, nil, nil
	}
}
