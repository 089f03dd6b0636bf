package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	plain   = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello"
	chunked = "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nhello\r\n0\r\nT: 1\r\n\r\n"
	get     = "GET /a HTTP/1.1\r\nHost: s\r\n\r\n"
)

// Feeds connections to a Detector in pieces of several sizes. Guards against a request that is hidden in the body of a request framed in
// two ways, wherever on the connection that request is, and against reading the contents of a body as a head.
func TestTwice(t *testing.T) {
	both := "POST /a HTTP/1.1\r\nHost: s\r\ncontent-length : 5\r\nContent-Length: 5\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"no bytes":                   {"", false},
		"lengths":                    {plain + plain + get, false},
		"chunks":                     {chunked + chunked + get, false},
		"both, in separate requests": {plain + chunked + plain + chunked, false},
		"both":                       {both, true},
		"both, after others":         {plain + chunked + get + both, true},
		"both, in reverse order":     {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", true},
		"bare line feeds":            {"POST /a HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: 5\n\n", true},
		"in a body":                  {"POST /a HTTP/1.1\r\nContent-Length: 82\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n12345678901" + plain, false},
		"in a chunk":                 {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nContent-Length: 5\r\n\r\n\r\n0\r\n\r\n" + get, false},
		"in a trailer":               {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n" + get, false},
		"a folded line":              {"POST /a HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", true},
		"an invalid chunk size":      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
		"bytes after a chunk":        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", true},
		"a length that is no number": {"POST /a HTTP/1.1\r\nContent-Length: five\r\n\r\n", true},
		"a long header":              {"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 5*maxLineBytes) + "\r\n\r\n" + chunked, false},
		"a long value":               {"GET /a HTTP/1.1\r\nContent-Length: 0" + strings.Repeat(" ", 5*maxLineBytes) + "1\r\n\r\n", true},
	} {
		for _, step := range []int{1, 2, 7, len(c.text) + 1} {
			var detector Detector
			for i := 0; i < len(c.text); i += step {
				detector.Feed([]byte(c.text[i:min(len(c.text), i+step)]))
			}
			if detector.Ambiguous() != c.want {
				t.Errorf("%s, in pieces of %d bytes: Ambiguous returns %v, want the opposite", name, step, detector.Ambiguous())
			}
		}
	}
}

// FuzzWatch compares the Detector with net/http: if net/http accepts a chunked request on a connection that the Detector does not report
// as ambiguous, the request's head has no Content-Length.
func FuzzWatch(f *testing.F) {
	for _, seed := range []string{plain + get, chunked + plain, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var detector Detector
		in := bufio.NewReader(io.TeeReader(bytes.NewReader(b), feeder{&detector}))
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if len(r.TransferEncoding) == 0 || detector.Ambiguous() {
				continue
			}
			// The head must not contain a Content-Length. net/http deletes this header from a head with both framings, so the test searches the
			// bytes.
			if i := bytes.Index(b, []byte("\r\n\r\n")); bytes.Count(b, []byte("HTTP/1.")) == 1 && i > 0 {
				for line := range bytes.SplitSeq(b[:i], []byte("\r\n")) {
					if name, _, ok := bytes.Cut(line, []byte{':'}); ok && bytes.EqualFold(name, []byte("Content-Length")) {
						t.Errorf("net/http accepts %q, whose head has both framings, but the Detector does not report it as ambiguous", b)
					}
				}
			}
		}
	})
}

// feeder is an io.Writer that feeds a Detector.
type feeder struct{ detector *Detector }

func (f feeder) Write(b []byte) (int, error) {
	f.detector.Feed(b)
	return len(b), nil
}

func BenchmarkFeed(b *testing.B) {
	head := []byte("GET /seat-search/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n" +
		"X-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\nX-Timeout: 480m\r\n\r\n")
	var detector Detector
	for b.Loop() {
		detector.Feed(head)
	}
}

// Heads of very many short fields took many times their length in memory. Feed must accept nothing after the line that is one too many,
// wherever the pieces end, and count the fields of each head and trailer by themselves.
func TestTooManyFields(t *testing.T) {
	fields := func(n int) string { return strings.Repeat("a:1\r\n", n) }
	small := "GET /a HTTP/1.1\r\n" + fields(MaxHeadFields) + "\r\n"
	trailer := "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for name, c := range map[string]struct {
		accepted, rest string
	}{
		"small heads":       {small + small + plain, ""},
		"a head":            {small + "GET /a HTTP/1.1\r\n" + fields(MaxHeadFields+1), fields(3) + "\r\n" + get},
		"a trailer":         {trailer + fields(MaxHeadFields+1), fields(1)},
		"in a body, no one": {"POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + fields(1000) + get, ""},
	} {
		text := c.accepted + c.rest
		for _, step := range []int{1, 7, len(text)} {
			var detector Detector
			accepted := 0
			for i := 0; i < len(text); i += step {
				accepted += detector.Feed([]byte(text[i:min(len(text), i+step)]))
			}
			if accepted != len(c.accepted) || detector.TooManyFields() != (c.rest != "") {
				t.Errorf("%s, in pieces of %d bytes: %d bytes are accepted, want %d; TooManyFields returns %v", name, step, accepted, len(c.accepted),
					detector.TooManyFields())
			}
		}
	}
}
