package graphql

import (
	"bytes"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
)

// reader reads one JSON text. It accepts duplicate keys: the decoder's check for them would be the largest part of reading an
// answer, so callers check for duplicates where they matter.
type reader struct {
	*jsontext.Decoder
	source bytes.Buffer
}

var readers = sync.Pool{New: func() any { return &reader{Decoder: new(jsontext.Decoder)} }}

func newReader(text []byte) *reader {
	r := readers.Get().(*reader)
	r.source = *bytes.NewBuffer(text)
	r.Reset(&r.source, jsontext.AllowDuplicateNames(true))
	return r
}

// release returns the reader to the pool. Values that it has returned stay valid, since they are slices of the text.
func (r *reader) release() {
	r.source = bytes.Buffer{}
	readers.Put(r)
}

// nextName reads an object's next key. It returns false if the object ends or is malformed; the next read reports a malformed
// object.
func (r *reader) nextName(scratch []byte) ([]byte, bool) {
	if r.PeekKind() != '"' {
		return nil, false
	}
	raw, err := r.ReadValue()
	if err != nil {
		return nil, false
	}
	name, err := jsontext.AppendUnquote(scratch[:0], raw)
	return name, err == nil
}

// atEnd reports whether only white space is left of the text.
func (r *reader) atEnd(text []byte) bool {
	return len(bytes.TrimLeft(text[r.InputOffset():], " \t\r\n")) == 0
}

// maxNesting is the largest nesting depth of a request's JSON.
const maxNesting = 100

// nestsTooDeep reports whether a text nests deeper than maxNesting. The text need not be valid JSON.
func nestsTooDeep(text []byte) bool {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			if depth++; depth > maxNesting {
				return true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return false
}

// objectMembers returns the values of an object by key. It is empty for any other JSON value.
func objectMembers(raw jsontext.Value) map[string]jsontext.Value {
	m := map[string]jsontext.Value{}
	if raw.Kind() != '{' {
		return m
	}
	r := newReader(raw)
	defer r.release()
	_, _ = r.ReadToken() // the opening brace
	var scratch [64]byte
	for {
		name, ok := r.nextName(scratch[:])
		if !ok {
			return m
		}
		value, err := r.ReadValue()
		if err != nil {
			return m
		}
		m[string(name)] = value
	}
}
