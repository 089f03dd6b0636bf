// Package framing follows the requests on a client's connection, byte by byte, to detect a request head that frames its body in two ways
// (Content-Length and Transfer-Encoding), which enables request smuggling. net/http drops one of the two silently (transfer.go:
// fixLength), while a proxy before or after the daemon may use the other and find a second request in the body. The package does no I/O,
// keeps at most one line, and parses as net/http does. It need not understand requests that net/http rejects.
package framing

import (
	"bytes"
	"strconv"
)

// maxLineBytes is the number of bytes that are kept of a line. No framing header is longer.
const maxLineBytes = 256

// MaxHeadFields is the largest number of header fields in the head of a request, and in its trailer. Each field costs many times its length
// once net/http has parsed it.
const MaxHeadFields = 128

// maxLengthBits bounds the lengths of bodies and chunks, as net/http does.
const maxLengthBits = 62

// state is the part of a request that the next byte belongs to.
type state int8

const (
	inHead        state = iota // lines of a head, the request line first
	inBody                     // remaining bytes of a body
	inChunkSize                // the line with a chunk's size
	inChunkData                // remaining bytes of a chunk
	afterChunk                 // the line end after a chunk
	inTrailer                  // lines after the last chunk
	unknown                    // the requests can no longer be followed
	tooManyFields              // a head has more than MaxHeadFields fields
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// Detector follows the requests on one connection. The zero value follows a new connection. Detector is not safe for concurrent use.
type Detector struct {
	state     state
	remaining int64 // bytes of the body or chunk that are still to come

	line        [maxLineBytes]byte
	lineLength  int
	lineTooLong bool // the line has more than maxLineBytes bytes

	requestLineSeen bool // the current head's request line has been read
	complete        int64
	fields          int // lines of the current head or trailer after the request line
	hasLength       bool
	contentLength   int64
	chunked         bool
	ambiguous       bool
}

// Ambiguous reports whether a request head so far framed its body in two ways, or the requests can no longer be followed. In both cases
// a chunked request must not be trusted.
func (d *Detector) Ambiguous() bool { return d.ambiguous || d.state == unknown }

// InHead reports whether a head has begun and not ended.
func (d *Detector) InHead() bool { return d.state == inHead && (d.requestLineSeen || d.lineLength > 0) }

// InBody reports whether more of a body has to come.
func (d *Detector) InBody() bool { return d.state >= inBody && d.state <= inTrailer }

// Complete returns the number of requests that have come completely.
func (d *Detector) Complete() int64 { return d.complete }

// TooManyFields reports whether a head or trailer has more than MaxHeadFields fields. Nothing is followed any more.
func (d *Detector) TooManyFields() bool { return d.state == tooManyFields }

// Feed processes the next bytes of the connection. It returns how many of them precede the end of the line with which a head has too many
// fields: all of them, unless TooManyFields.
func (d *Detector) Feed(b []byte) (accepted int) {
	size := len(b)
	for len(b) > 0 {
		switch d.state {
		case unknown:
			return size
		case tooManyFields:
			return size - len(b)
		case inBody, inChunkData:
			b = d.skipData(b)
		default:
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				d.appendLine(b)
				return size
			}
			d.appendLine(b[:end])
			b = b[end+1:]
			d.endLine()
		}
	}
	return size
}

// skipData skips the bytes of a body or chunk, and returns the bytes that follow.
func (d *Detector) skipData(b []byte) []byte {
	n := min(int64(len(b)), d.remaining)
	d.remaining -= n
	if d.remaining == 0 {
		if d.state == inBody {
			d.nextRequest()
		} else {
			d.state = afterChunk
		}
	}
	return b[n:]
}

func (d *Detector) appendLine(b []byte) {
	n := copy(d.line[d.lineLength:], b)
	d.lineLength += n
	d.lineTooLong = d.lineTooLong || n < len(b)
}

func (d *Detector) nextRequest() {
	d.complete++
	d.state, d.requestLineSeen, d.fields = inHead, false, 0
	d.hasLength, d.contentLength, d.chunked = false, 0, false
}

// endLine handles the line that has ended, and begins the next one.
func (d *Detector) endLine() {
	line := bytes.TrimSuffix(d.line[:d.lineLength], []byte{'\r'})
	tooLong := d.lineTooLong
	d.lineLength, d.lineTooLong = 0, false
	switch d.state {
	case inHead:
		d.headLine(line, tooLong)
	case inChunkSize:
		d.chunkSizeLine(line)
	case afterChunk:
		d.state = inChunkSize
		if len(line) > 0 {
			d.state = unknown
		}
	case inTrailer:
		if len(line) == 0 && !tooLong {
			d.nextRequest()
			return
		}
		d.countField()
	}
}

// countField counts a line of a head or trailer.
func (d *Detector) countField() {
	if d.fields++; d.fields > MaxHeadFields {
		d.state = tooManyFields
	}
}

func (d *Detector) chunkSizeLine(line []byte) {
	size, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, maxLengthBits)
	switch {
	case err != nil:
		d.state = unknown
	case n == 0:
		d.state, d.fields = inTrailer, 0
	default:
		d.state, d.remaining = inChunkData, int64(n)
	}
}

// headLine handles a line of a head.
func (d *Detector) headLine(line []byte, tooLong bool) {
	switch {
	case !d.requestLineSeen: // net/http accepts no empty line before the request line
		d.requestLineSeen = true
	case len(line) == 0 && !tooLong:
		d.endHead()
	default:
		d.header(line, tooLong)
		d.countField()
	}
}

func (d *Detector) endHead() {
	switch {
	case d.chunked:
		d.state = inChunkSize
	case d.contentLength > 0:
		d.state, d.remaining = inBody, d.contentLength
	default:
		d.nextRequest()
	}
}

func (d *Detector) header(line []byte, tooLong bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case line[0] == ' ' || line[0] == '\t': // the line continues the previous line, which may be a framing header
		d.ambiguous = d.ambiguous || d.hasLength || d.chunked
	case bytes.EqualFold(name, contentLength):
		n, err := strconv.ParseUint(string(value), 10, maxLengthBits)
		d.hasLength, d.contentLength = true, int64(n)
		if err != nil || tooLong {
			d.state = unknown // net/http rejects such a line
		}
	case bytes.EqualFold(name, transferEncoding):
		d.chunked = true
	}
	d.ambiguous = d.ambiguous || d.hasLength && d.chunked
}
