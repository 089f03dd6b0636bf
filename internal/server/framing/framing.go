// Package framing follows the requests on a client's connection, byte by byte, to tell of a head that frames its body in two ways.
// The library that serves them drops one of the two without a word (net/http, transfer.go: fixLength), while others before or
// behind may follow the other one, and find a second request in the body. It does no I/O, keeps no more than a line, and reads as
// that library does: what the library turns down it need not understand.
package framing

import (
	"bytes"
	"strconv"
)

// maxLine bounds what is kept of a line; no header that frames is longer.
const maxLine = 256

type state int8

const (
	head      state = iota // lines of a head, the request line first
	body                   // left bytes of a body
	chunkSize              // a line with a chunk's size
	chunkData              // left bytes of a chunk
	chunkEnd               // the line end behind it
	trailer                // lines behind the last chunk
	lost                   // it can't be followed any more
)

// Detector follows one connection. The zero one is at its beginning. It is not safe for concurrent use.
type Detector struct {
	state     state
	left      int64 // bytes
	line      [maxLine]byte
	n         int  // of line
	long      bool // the line is longer
	first     bool // a line of this head has come
	hasLength bool
	length    int64
	chunked   bool
	twice     bool
}

// Ambiguous tells whether some head so far frames its body in two ways, or the requests could not be followed: a chunked one is then
// not to be trusted.
func (w *Detector) Ambiguous() bool { return w.twice || w.state == lost }

// Feed takes the bytes that came next.
func (w *Detector) Feed(b []byte) {
	for len(b) > 0 {
		switch w.state {
		case lost:
			return
		case body, chunkData:
			n := min(int64(len(b)), w.left)
			b = b[n:]
			if w.left -= n; w.left == 0 {
				if w.state == body {
					w.begin()
				} else {
					w.state = chunkEnd
				}
			}
		default:
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				w.add(b)
				return
			}
			w.add(b[:i])
			b = b[i+1:]
			line := bytes.TrimSuffix(w.line[:w.n], []byte{'\r'})
			long := w.long
			w.n, w.long = 0, false
			w.take(line, long)
		}
	}
}

func (w *Detector) add(b []byte) {
	n := copy(w.line[w.n:], b)
	w.n += n
	w.long = w.long || n < len(b)
}

func (w *Detector) begin() {
	w.state, w.first, w.hasLength, w.length, w.chunked = head, false, false, 0, false
}

// take takes a whole line; long: only its beginning.
func (w *Detector) take(line []byte, long bool) {
	switch w.state {
	case head:
		w.header(line, long)
	case chunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		switch {
		case err != nil:
			w.state = lost
		case n == 0:
			w.state = trailer
		default:
			w.state, w.left = chunkData, int64(n)
		}
	case chunkEnd:
		if w.state = chunkSize; len(line) > 0 {
			w.state = lost
		}
	case trailer:
		if len(line) == 0 && !long {
			w.begin()
		}
	}
}

// header takes a line of a head.
func (w *Detector) header(line []byte, long bool) {
	switch {
	case !w.first:
		w.first = true // the request line; the library takes no empty one before it
		return
	case len(line) == 0 && !long:
		switch {
		case w.chunked:
			w.state = chunkSize
		case w.length > 0:
			w.state, w.left = body, w.length
		default:
			w.begin()
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case line[0] == ' ' || line[0] == '\t': // goes on with the line before, which may have framed
		w.twice = w.twice || w.hasLength || w.chunked
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 62)
		if w.hasLength, w.length = true, int64(n); err != nil || long {
			w.state = lost // the library turns it down
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		w.chunked = true
	}
	w.twice = w.twice || w.hasLength && w.chunked
}
