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

// errUnchanged is returned by Load where the file was read before.
var errUnchanged = errors.New("unchanged")

// FileSource is a Source that follows a list file, as package listfile reads it. The file is replaced by renaming a new one to its name;
// where it is caught half-written, or can't be used, the last good list stays.
type FileSource struct {
	reader   *filewatch.Reader
	interval time.Duration
	log      *slog.Logger
	version  int64 // lists read so far
	polls    atomic.Int64
}

var _ Source = (*FileSource)(nil)

// NewFileSource returns a FileSource that looks at the file every interval. Load reads the file for the first time, Run follows it.
func NewFileSource(path string, interval time.Duration, log *slog.Logger) *FileSource {
	return &FileSource{reader: filewatch.NewReader(path, listfile.MaxBytes), interval: interval, log: log}
}

// Load reads the file. It is called before Run.
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

// Run follows the file until ctx ends.
func (s *FileSource) Run(ctx context.Context, sink Sink) {
	filewatch.Watch(ctx, s.interval, func() {
		s.poll(sink)
		s.polls.Add(1)
	})
}

// poll reports the file's list to sink where the file has changed.
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

// parse returns the list that a file's text has.
func (s *FileSource) parse(text []byte) (*endpoints.List, error) {
	entries, err := listfile.Parse(s.reader.Path(), text)
	if err != nil {
		return nil, err
	}
	s.version++
	return listfile.ListOf(s.version, entries), nil
}

// Refresh does nothing: the file is looked at anyway.
func (s *FileSource) Refresh() {}

// Polls returns how often the file has been looked at since Run, and what was new in it reported.
func (s *FileSource) Polls() int64 { return s.polls.Load() }
