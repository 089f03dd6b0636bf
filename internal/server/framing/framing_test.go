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

// What is told of a connection, however its bytes are cut. Guards against a request hidden in the body of one that is framed twice,
// wherever that one stands, and against taking what a body holds for a head.
func TestTwice(t *testing.T) {
	both := "POST /a HTTP/1.1\r\nHost: s\r\ncontent-length : 5\r\nContent-Length: 5\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"nothing":             {"", false},
		"lengths":             {plain + plain + get, false},
		"chunks":              {chunked + chunked + get, false},
		"one after the other": {plain + chunked + plain + chunked, false},
		"both":                {both, true},
		"both, behind others": {plain + chunked + get + both, true},
		"the other way round": {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", true},
		"bare line feeds":     {"POST /a HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: 5\n\n", true},
		"in a body":           {"POST /a HTTP/1.1\r\nContent-Length: 82\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n12345678901" + plain, false},
		"in a chunk":          {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nContent-Length: 5\r\n\r\n\r\n0\r\n\r\n" + get, false},
		"in a trailer":        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n" + get, false},
		"a folded line":       {"POST /a HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", true},
		"a broken chunk":      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
		"behind a chunk":      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", true},
		"a length of letters": {"POST /a HTTP/1.1\r\nContent-Length: five\r\n\r\n", true},
		"a long header":       {"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 5*maxLine) + "\r\n\r\n" + chunked, false},
		"a long value":        {"GET /a HTTP/1.1\r\nContent-Length: 0" + strings.Repeat(" ", 5*maxLine) + "1\r\n\r\n", true},
	} {
		for _, step := range []int{1, 2, 7, len(c.text) + 1} {
			var w Detector
			for i := 0; i < len(c.text); i += step {
				w.Feed([]byte(c.text[i:min(len(c.text), i+step)]))
			}
			if w.Ambiguous() != c.want {
				t.Errorf("%s, by %d: %v", name, step, w.Ambiguous())
			}
		}
	}
}

// FuzzWatch holds the watch against the library that it stands before: where that library serves a chunked request on a connection
// that is not said to be framed twice, no head of it had both framings.
func FuzzWatch(f *testing.F) {
	for _, seed := range []string{plain + get, chunked + plain, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var w Detector
		in := bufio.NewReader(io.TeeReader(bytes.NewReader(b), feeder{&w}))
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if len(r.TransferEncoding) == 0 || w.Ambiguous() {
				continue
			}
			// What the library took for this head must not name a length: it deletes it, so the bytes themselves are looked at.
			if i := bytes.Index(b, []byte("\r\n\r\n")); bytes.Count(b, []byte("HTTP/1.")) == 1 && i > 0 {
				for line := range bytes.SplitSeq(b[:i], []byte("\r\n")) {
					if name, _, ok := bytes.Cut(line, []byte{':'}); ok && bytes.EqualFold(name, []byte("Content-Length")) {
						t.Errorf("%q was served, and is not said to be framed twice", b)
					}
				}
			}
		}
	})
}

type feeder struct{ w *Detector }

func (f feeder) Write(b []byte) (int, error) {
	f.w.Feed(b)
	return len(b), nil
}

func BenchmarkFeed(b *testing.B) {
	head := []byte("GET /seat-search/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n" +
		"X-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\nX-Timeout: 480m\r\n\r\n")
	var w Detector
	for b.Loop() {
		w.Feed(head)
	}
}
