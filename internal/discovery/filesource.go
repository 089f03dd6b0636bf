package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"orchiddrift/internal/discovery/listfile"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/filewatch"
)

// errUnchanged is returned by Load if the file has not changed since it was last read.
var errUnchanged = errors.New("list file has not changed since it was last read")

// FileSource is a Source that follows a list file in the format of package listfile. The file should be replaced atomically, by renaming a
// new file to its name. If the file is incomplete or invalid, the last valid list stays in use.
type FileSource struct {
	reader   *filewatch.Reader
	interval time.Duration
	log      *slog.Logger
	version  int64 // number of valid lists read so far
	polls    atomic.Int64
}

var _ Source = (*FileSource)(nil)

// NewFileSource returns a FileSource that checks the file once per interval. Load reads the file for the first time, and Run follows it.
func NewFileSource(path string, interval time.Duration, log *slog.Logger) *FileSource {
	return &FileSource{reader: filewatch.NewReader(path, listfile.MaxBytes), interval: interval, log: log}
}

// Load reads the file and returns its list. It is called before Run.
func (s *FileSource) Load() (*endpoints.List, error) {
	content, changed := s.reader.Read()
	switch {
	case !changed:
		return nil, errUnchanged
	case content.Err != nil:
		return nil, content.Err
	}
	list, err := s.parse(content.Text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.reader.Path(), err)
	}
	return list, nil
}

// Run follows the file until ctx is done.
func (s *FileSource) Run(ctx context.Context, sink Sink) {
	filewatch.Watch(ctx, s.interval, func() {
		s.poll(sink)
		s.polls.Add(1)
	})
}

// poll reports the file's list to sink if the file has changed, or reports that the list is lost if the file can't be read or is invalid.
func (s *FileSource) poll(sink Sink) {
	content, changed := s.reader.Read()
	if !changed {
		return
	}
	list, err := (*endpoints.List)(nil), content.Err
	if err == nil {
		list, err = s.parse(content.Text)
	}
	if err != nil {
		s.log.Warn("the last good list stays", "file", s.reader.Path(), "reason", err)
		sink.Lost(err, true)
		return
	}
	sink.Update(list)
}

// parse returns a file's text as a list with the next version.
func (s *FileSource) parse(text []byte) (*endpoints.List, error) {
	entries, err := listfile.Parse(s.reader.Path(), text)
	if err != nil {
		return nil, err
	}
	s.version++
	return listfile.ListOf(s.version, entries), nil
}

// Refresh does nothing, since Run checks the file at every interval.
func (s *FileSource) Refresh() {}

// Polls returns how many checks of the file Run has completed. A completed check has also reported any change to the sink.
func (s *FileSource) Polls() int64 { return s.polls.Load() }
