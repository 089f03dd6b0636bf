// Package filewatch follows the content of files by looking at them, at a stated interval: that works on every file
// system, through links that are swapped, and where a file is replaced by renaming.
package filewatch

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultInterval is how often a file is looked at, where nothing else is asked for.
const DefaultInterval = 100 * time.Millisecond

// Content is what a file held when it was last read whole.
type Content struct {
	Text []byte
	Err  error // it could not be read; Text is nil then
}

// Reader reads one file, and tells whether it has changed. It is not safe for concurrent use.
type Reader struct {
	path string
	most int64
	last stamp
	sum  uint64
	seen bool
	err  string
}

// stamp tells two states of a path apart without reading it.
type stamp struct {
	size    int64
	changed time.Time
	info    os.FileInfo
}

// NewReader returns one for a file of at most so many bytes.
func NewReader(path string, most int) *Reader { return &Reader{path: path, most: int64(most)} }

// Path is the file's.
func (r *Reader) Path() string { return r.path }

// Read returns the file's content if it differs from that of the Look before. A file whose time and size stand still
// for longer than their grain is not read again.
func (r *Reader) Read() (c Content, changed bool) {
	info, err := os.Stat(r.path)
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s is not a file", r.path)
	}
	if err != nil {
		return r.failed(err)
	}
	now := stamp{info.Size(), info.ModTime(), info}
	// A write within the grain of the file system's clock leaves the time as it was: what is young is read again.
	settled := time.Since(now.changed) > 2*time.Second
	if r.seen && r.err == "" && settled && now.size == r.last.size && now.changed.Equal(r.last.changed) &&
		os.SameFile(info, r.last.info) {
		return Content{}, false
	}
	text, err := read(r.path, r.most)
	if err != nil {
		return r.failed(err)
	}
	r.last = now
	sum := xxhash.Sum64(text)
	if r.seen && r.err == "" && sum == r.sum {
		return Content{}, false
	}
	r.seen, r.sum, r.err = true, sum, ""
	return Content{Text: text}, true
}

// failed reports an error once, until it is another one.
func (r *Reader) failed(err error) (Content, bool) {
	if r.err == err.Error() {
		return Content{}, false
	}
	r.err = err.Error()
	return Content{Err: err}, true
}

func read(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s has over %d bytes", path, most)
	}
	return text, err
}

// Watch calls look every so often until ctx ends.
func Watch(ctx context.Context, every time.Duration, look func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			look()
		case <-ctx.Done():
			return
		}
	}
}
