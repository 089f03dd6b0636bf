// Package filewatch detects changes of files by polling. That works on every file system, also when a symbolic link is switched to another
// file and when a file is replaced by renaming. Callers interpret the content; the package starts no goroutine.
package filewatch

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultInterval is the polling interval of files for which no interval is configured.
const DefaultInterval = 100 * time.Millisecond

// timestampGranularity is the longest interval in which a file system may give two writes the same modification time. A file that was
// modified less than this interval ago is read again even if its metadata are unchanged.
const timestampGranularity = 2 * time.Second

// Content is the content of a file, or the error of reading it.
type Content struct {
	Text []byte // nil if Err is not nil
	Err  error
}

// Reader reads one file and detects changes. It is not safe for concurrent use.
type Reader struct {
	path     string
	maxBytes int64

	metadata  metadata // of the file when its content was last read
	hash      uint64   // of the content last read
	hasRead   bool     // whether a content has been read
	lastError string   // error of the last Read; "" if it succeeded
}

// metadata tells two versions of a file apart without reading them.
type metadata struct {
	size     int64
	modified time.Time
	info     os.FileInfo
}

// equal reports whether both belong to the same file and have the same size and modification time.
func (m metadata) equal(other metadata) bool {
	return m.size == other.size && m.modified.Equal(other.modified) && os.SameFile(m.info, other.info)
}

// NewReader returns a Reader for a file of at most maxBytes. Read returns an error for a larger file.
func NewReader(path string, maxBytes int) *Reader {
	return &Reader{path: path, maxBytes: int64(maxBytes)}
}

// Path returns the path of the file.
func (r *Reader) Path() string { return r.path }

// Read returns the file's content, or the error of reading it, and true if the result differs from that of the previous Read. It does not
// read a file whose metadata have not changed for longer than timestampGranularity.
func (r *Reader) Read() (c Content, changed bool) {
	info, err := os.Stat(r.path)
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s is not a regular file", r.path)
	}
	if err != nil {
		return r.fail(err)
	}
	current := metadata{info.Size(), info.ModTime(), info}
	unchanged := r.hasRead && r.lastError == "" && current.equal(r.metadata)
	if unchanged && time.Since(current.modified) > timestampGranularity {
		return Content{}, false
	}
	text, err := readFile(r.path, r.maxBytes)
	if err != nil {
		return r.fail(err)
	}
	r.metadata = current
	hash := xxhash.Sum64(text)
	if r.hasRead && r.lastError == "" && hash == r.hash {
		return Content{}, false
	}
	r.hasRead, r.hash, r.lastError = true, hash, ""
	return Content{Text: text}, true
}

// fail returns an error as a change, unless the previous Read failed with the same error.
func (r *Reader) fail(err error) (Content, bool) {
	if r.lastError == err.Error() {
		return Content{}, false
	}
	r.lastError = err.Error()
	return Content{Err: err}, true
}

func readFile(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("%s is larger than the limit of %d bytes", path, maxBytes)
	}
	return text, err
}

// Watch calls check after each interval, on the caller's goroutine, until ctx ends.
func Watch(ctx context.Context, interval time.Duration, check func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			check()
		case <-ctx.Done():
			return
		}
	}
}
