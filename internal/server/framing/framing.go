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
	inHead      state = iota // lines of a head, the request line first
	inBody                   // left bytes of a body
	inChunkSize              // a line with a chunk's size
	inChunkData              // left bytes of a chunk
	afterChunk               // the line end behind it
	inTrailer                // lines behind the last chunk
	unknown                  // it can't be followed any more
)

// Detector follows one connection. The zero one is at its beginning. It is not safe for concurrent use.
type Detector struct {
	state           state
	remaining       int64 // bytes
	line            [maxLine]byte
	lineLength      int  // of line
	lineTooLong     bool // the line is longer
	requestLineSeen bool // a line of this head has come
	hasLength       bool
	contentLength   int64
	chunked         bool
	ambiguous       bool
}

// Ambiguous tells whether some head so far frames its body in two ways, or the requests could not be followed: a chunked one is then
// not to be trusted.
func (w *Detector) Ambiguous() bool { return w.ambiguous || w.state == unknown }

// Feed takes the bytes that came next.
func (w *Detector) Feed(b []byte) {
	for len(b) > 0 {
		switch w.state {
		case unknown:
			return
		case inBody, inChunkData:
			n := min(int64(len(b)), w.remaining)
			b = b[n:]
			if w.remaining -= n; w.remaining == 0 {
				if w.state == inBody {
					w.nextRequest()
				} else {
					w.state = afterChunk
				}
			}
		default:
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				w.appendLine(b)
				return
			}
			w.appendLine(b[:i])
			b = b[i+1:]
			line := bytes.TrimSuffix(w.line[:w.lineLength], []byte{'\r'})
			long := w.lineTooLong
			w.lineLength, w.lineTooLong = 0, false
			w.endLine(line, long)
		}
	}
}

func (w *Detector) appendLine(b []byte) {
	n := copy(w.line[w.lineLength:], b)
	w.lineLength += n
	w.lineTooLong = w.lineTooLong || n < len(b)
}

func (w *Detector) nextRequest() {
	w.state, w.requestLineSeen, w.hasLength, w.contentLength, w.chunked = inHead, false, false, 0, false
}

// endLine takes a whole line; long: only its beginning.
func (w *Detector) endLine(line []byte, long bool) {
	switch w.state {
	case inHead:
		w.header(line, long)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		switch {
		case err != nil:
			w.state = unknown
		case n == 0:
			w.state = inTrailer
		default:
			w.state, w.remaining = inChunkData, int64(n)
		}
	case afterChunk:
		if w.state = inChunkSize; len(line) > 0 {
			w.state = unknown
		}
	case inTrailer:
		if len(line) == 0 && !long {
			w.nextRequest()
		}
	}
}

// header takes a line of a head.
func (w *Detector) header(line []byte, long bool) {
	switch {
	case !w.requestLineSeen:
		w.requestLineSeen = true // the request line; the library takes no empty one before it
		return
	case len(line) == 0 && !long:
		switch {
		case w.chunked:
			w.state = inChunkSize
		case w.contentLength > 0:
			w.state, w.remaining = inBody, w.contentLength
		default:
			w.nextRequest()
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case line[0] == ' ' || line[0] == '\t': // goes on with the line before, which may have framed
		w.ambiguous = w.ambiguous || w.hasLength || w.chunked
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 62)
		if w.hasLength, w.contentLength = true, int64(n); err != nil || long {
			w.state = unknown // the library turns it down
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		w.chunked = true
	}
	w.ambiguous = w.ambiguous || w.hasLength && w.chunked
}
