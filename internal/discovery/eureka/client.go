package eureka

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxKeptBufferBytes = 1 << 20  // of the buffer that is kept between answers
	maxDrainedBytes    = 64 << 10 // of an answer that is read so that its connection can be reused
)

var (
	// errUnchanged is returned for an answer that is the one that was decoded last.
	errUnchanged    = errors.New("unchanged")
	errAnswerTooBig = errors.New("the answer is larger than max_answer")
)

// client calls the servers of one registry. Calls go one after the other; the server that answered last is tried first.
type client struct {
	servers        []string // base addresses, without a slash at the end
	http           *http.Client
	timeout        time.Duration // of a whole call to one server
	maxAnswerBytes int64         // as it arrives, and uncompressed
	accept         string        // media type
	user           string        // for basic authentication; empty: none
	password       func() string

	current atomic.Int64 // index of the server that answered last
	answer  bytes.Buffer // as it arrived
	decoded answerSum    // of the answer that was decoded last; zero: none

	requests, bytes atomic.Int64 // so far; bytes of answers as they arrived
}

// answerSum identifies an answer.
type answerSum struct {
	path  string
	hash  uint64
	bytes int64
}

// statusError is an answer with another status than the one wanted.
type statusError struct{ code int }

// Error implements error.
func (e statusError) Error() string {
	return fmt.Sprintf("answered %d %s", e.code, http.StatusText(e.code))
}

// isStatus reports whether an error is an answer with one of these status codes.
func isStatus(err error, codes ...int) bool {
	var s statusError
	return errors.As(err, &s) && slices.Contains(codes, s.code)
}

// tryServers calls servers one after the other until one answers, and returns all errors if none does. A server that does not know the
// path has answered.
func (c *client) tryServers(ctx context.Context, call func(server string) error) error {
	first := int(c.current.Load())
	var failures []error
	for n := range c.servers {
		i := (first + n) % len(c.servers)
		err := call(c.servers[i])
		if err == nil || errors.Is(err, errUnchanged) || isStatus(err, http.StatusNotFound) {
			c.current.Store(int64(i))
			return err
		}
		failures = append(failures, fmt.Errorf("%s: %w", redacted(c.servers[i]), err))
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failures...)
}

// get decodes a document from the first server that has one. It calls reset before each attempt, and returns errUnchanged where the
// document is the one that was decoded last.
func (c *client) get(ctx context.Context, path string, d *document, reset func()) error {
	return c.tryServers(ctx, func(server string) error {
		reset()
		err := c.getFrom(ctx, server, path, d)
		if err != nil && !errors.Is(err, errUnchanged) && !isStatus(err, http.StatusNotFound) {
			c.decoded = answerSum{}
		}
		return err
	})
}

// getFrom decodes a document of one server. Most answers are the same as before, since servers answer out of a cache: these are not
// decoded again.
func (c *client) getFrom(ctx context.Context, server, path string, d *document) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, server+path, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError{response.StatusCode}
	}
	c.answer.Reset()
	n, err := io.Copy(&c.answer, &boundedReader{response.Body, c.maxAnswerBytes})
	c.bytes.Add(n)
	if err != nil {
		return err
	}
	sum := answerSum{path, xxhash.Sum64(c.answer.Bytes()), n}
	if c.decoded == sum {
		return errUnchanged
	}
	var body io.Reader = &c.answer
	if strings.EqualFold(response.Header.Get("Content-Encoding"), "gzip") {
		if body, err = gzip.NewReader(body); err != nil {
			return fmt.Errorf("unpacking: %w", err)
		}
	}
	if err := d.decode(response.Header.Get("Content-Type"), &boundedReader{body, c.maxAnswerBytes}); err != nil {
		return err
	}
	c.decoded = sum
	if c.answer.Cap() > maxKeptBufferBytes {
		c.answer = bytes.Buffer{}
	}
	return nil
}

// post sends a request whose answer has no content that matters to the first server that takes it.
func (c *client) post(ctx context.Context, method, path, body string) error {
	return c.tryServers(ctx, func(server string) error { return c.postTo(ctx, server, method, path, body) })
}

func (c *client) postTo(ctx context.Context, server, method, path, body string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, method, server+path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes))
	if response.StatusCode/100 != 2 {
		return statusError{response.StatusCode}
	}
	return nil
}

// send sends one request. Its error is without the address, which may have a password.
func (c *client) send(ctx context.Context, method, target, body string) (*http.Response, error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", c.accept)
	request.Header.Set("Accept-Encoding", "gzip")
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.user != "" {
		request.SetBasicAuth(c.user, c.password())
	}
	c.requests.Add(1)
	response, err := c.http.Do(request)
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return nil, urlError.Err
	}
	return response, err
}

// redacted returns an address without its password.
func redacted(server string) string {
	if u, err := url.Parse(server); err == nil {
		return u.Redacted()
	}
	return "a server"
}

// boundedReader fails at its bound, so that an answer that is cut there is not taken for a complete one.
type boundedReader struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errAnswerTooBig
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
