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
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// client asks a registry's servers, one after the other: the one that answered last is asked first.
type client struct {
	servers  []string // base addresses, without a slash at the end
	http     *http.Client
	timeout  time.Duration // of a whole call
	most     int64         // bytes of an answer, unpacked
	accept   string
	user     string
	password func() string
	current  atomic.Int64
	packed   bytes.Buffer
	applied  sumOf // the document that was decoded last; zero: none counts

	// What has been asked so far.
	requests, bytes atomic.Int64 // bytes as they came, packed
}

// statusError is an answer that is not the one wanted.
type statusError struct{ code int }

func (e statusError) Error() string {
	return fmt.Sprintf("answered %d %s", e.code, http.StatusText(e.code))
}

// isStatus tells whether an error is an answer with one of these codes.
func isStatus(err error, codes ...int) bool {
	var s statusError
	if !errors.As(err, &s) {
		return false
	}
	for _, c := range codes {
		if s.code == c {
			return true
		}
	}
	return false
}

// get reads a document from the first server that has one. A server that says it knows no such path has answered.
func (c *client) get(ctx context.Context, path string, d *document, reset func()) (err error) {
	first := int(c.current.Load())
	var all []error
	for n := range c.servers {
		at := (first + n) % len(c.servers)
		reset()
		if err = c.getFrom(ctx, c.servers[at], path, d); err == nil || errors.Is(err, errUnchanged) || isStatus(err, http.StatusNotFound) {
			c.current.Store(int64(at))
			return err
		}
		c.applied = sumOf{}
		all = append(all, fmt.Errorf("%s: %w", redacted(c.servers[at]), err))
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(all...)
}

func (c *client) getFrom(ctx context.Context, server, path string, d *document) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, http.MethodGet, server+path, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError{resp.StatusCode}
	}
	// What comes is the same as before for most polls, since servers answer out of a cache: it is not decoded again.
	c.packed.Reset()
	n, err := io.Copy(&c.packed, &bounded{resp.Body, c.most})
	c.bytes.Add(n)
	if err != nil {
		return err
	}
	sum := sumOf{path, xxhash.Sum64(c.packed.Bytes()), n}
	if c.applied == sum {
		return errUnchanged
	}
	var body io.Reader = &c.packed
	if strings.EqualFold(resp.Header.Get("Content-Encoding"), "gzip") {
		if body, err = gzip.NewReader(body); err != nil {
			return fmt.Errorf("unpacking: %w", err)
		}
	}
	if err := d.decode(resp.Header.Get("Content-Type"), &bounded{body, c.most}); err != nil {
		return err
	}
	c.applied = sum
	if c.packed.Cap() > keepPacked {
		c.packed = bytes.Buffer{}
	}
	return nil
}

// errUnchanged says that the answer is the one that was applied last.
var errUnchanged = errors.New("unchanged")

// keepPacked is what is kept of a buffer between calls.
const keepPacked = 1 << 20

// sumOf tells answers apart.
type sumOf struct {
	path  string
	sum   uint64
	bytes int64
}

// send makes one call. Calls go one after the other, so that a connection is kept for each server at most.
func (c *client) send(ctx context.Context, method, target, body string) (*http.Response, error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", c.accept)
	req.Header.Set("Accept-Encoding", "gzip")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.user != "" {
		req.SetBasicAuth(c.user, c.password())
	}
	c.requests.Add(1)
	resp, err := c.http.Do(req)
	var wrong *url.Error
	if errors.As(err, &wrong) { // without the address, which may bear a password
		return nil, wrong.Err
	}
	return resp, err
}

// say makes a call whose answer has no content that matters, at the first server that takes it.
func (c *client) say(ctx context.Context, method, path, body string) (err error) {
	first := int(c.current.Load())
	var all []error
	for n := range c.servers {
		at := (first + n) % len(c.servers)
		if err = c.sayTo(ctx, c.servers[at], method, path, body); err == nil || isStatus(err, http.StatusNotFound) {
			c.current.Store(int64(at))
			return err
		}
		all = append(all, fmt.Errorf("%s: %w", redacted(c.servers[at]), err))
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(all...)
}

func (c *client) sayTo(ctx context.Context, server, method, path, body string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, method, server+path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10)) // so that the connection can be kept
	if resp.StatusCode/100 != 2 {
		return statusError{resp.StatusCode}
	}
	return nil
}

// redacted is an address without its password.
func redacted(server string) string {
	if u, err := url.Parse(server); err == nil {
		return u.Redacted()
	}
	return "a server"
}

// bounded fails where a document is too large, so that it is not taken for one that has ended.
type bounded struct {
	io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.New("the answer is larger than max_answer")
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
