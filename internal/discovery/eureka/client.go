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
	maxReusedBufferBytes = 1 << 20  // a larger response buffer is not reused
	maxDrainedBytes      = 64 << 10 // longest response body that is read to its end so that the connection can be reused
)

var (
	// errUnchanged is returned if a response equals the response that was decoded last.
	errUnchanged        = errors.New("response unchanged")
	errResponseTooLarge = errors.New("response is larger than max_answer")
)

// client calls the servers of one registry. It makes one call at a time, and first tries the server that answered most recently.
type client struct {
	servers          []string // base URLs, without a trailing slash
	http             *http.Client
	timeout          time.Duration // timeout of a complete call to one server
	maxResponseBytes int64         // limit for the response as received and for its uncompressed content
	accept           string        // requested media type
	user             string        // user name for basic authentication; if empty, none is sent
	password         func() string

	current     atomic.Int64   // index of the server that answered last
	received    bytes.Buffer   // body of the last response, before decompression
	lastDecoded responseDigest // digest of the response that was decoded last, or the zero value

	requests, bytes atomic.Int64 // requests sent so far, and bytes of responses received, before decompression
}

// responseDigest identifies a response by its path and content.
type responseDigest struct {
	path  string
	hash  uint64
	bytes int64
}

// statusError reports a response with an unexpected status code.
type statusError struct{ code int }

// Error implements error.
func (e statusError) Error() string {
	return fmt.Sprintf("answered %d %s", e.code, http.StatusText(e.code))
}

// isStatus reports whether err is a statusError with one of these status codes.
func isStatus(err error, codes ...int) bool {
	var s statusError
	return errors.As(err, &s) && slices.Contains(codes, s.code)
}

// tryServers calls the servers in turn until one answers, and returns all errors if none does. A response with status 404 counts as an
// answer.
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

// get decodes a document from the first server that answers. It calls reset before each attempt, and returns errUnchanged if the response
// equals the response that was decoded last.
func (c *client) get(ctx context.Context, path string, d *document, reset func()) error {
	return c.tryServers(ctx, func(server string) error {
		reset()
		err := c.getFrom(ctx, server, path, d)
		if err != nil && !errors.Is(err, errUnchanged) && !isStatus(err, http.StatusNotFound) {
			c.lastDecoded = responseDigest{}
		}
		return err
	})
}

// getFrom decodes a document from one server. Most responses equal the previous response, since servers answer from a cache. Such a
// response is not decoded again.
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
	c.received.Reset()
	n, err := io.Copy(&c.received, &boundedReader{response.Body, c.maxResponseBytes})
	c.bytes.Add(n)
	if err != nil {
		return err
	}
	sum := responseDigest{path, xxhash.Sum64(c.received.Bytes()), n}
	if c.lastDecoded == sum {
		return errUnchanged
	}
	var body io.Reader = &c.received
	if strings.EqualFold(response.Header.Get("Content-Encoding"), "gzip") {
		if body, err = gzip.NewReader(body); err != nil {
			return fmt.Errorf("decompressing response: %w", err)
		}
	}
	if err := d.decode(response.Header.Get("Content-Type"), &boundedReader{body, c.maxResponseBytes}); err != nil {
		return err
	}
	c.lastDecoded = sum
	if c.received.Cap() > maxReusedBufferBytes {
		c.received = bytes.Buffer{}
	}
	return nil
}

// execute sends a request to the servers in turn until one accepts it. The content of the response is discarded.
func (c *client) execute(ctx context.Context, method, path, body string) error {
	return c.tryServers(ctx, func(server string) error { return c.executeOn(ctx, server, method, path, body) })
}

func (c *client) executeOn(ctx context.Context, server, method, path, body string) error {
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

// send sends one request. Its error does not contain the URL, since the URL may contain a password.
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

// redacted returns a server's URL without its password.
func redacted(server string) string {
	if u, err := url.Parse(server); err == nil {
		return u.Redacted()
	}
	return "server with an invalid URL"
}

// boundedReader returns an error at its limit, so that a truncated response is not taken for a complete response.
type boundedReader struct {
	io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
