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

// FileSource is a Source that follows a file of upstreams, as package listfile reads it. The file is replaced by renaming a new
// one to its name; one that is caught half-written, or can't be used, keeps the last good list.
type FileSource struct {
	reader  *filewatch.Reader
	every   time.Duration
	log     *slog.Logger
	version int64
	looks   atomic.Int64
}

// NewFileSource returns one. Load reads the file for the first time, Run follows it.
func NewFileSource(path string, every time.Duration, log *slog.Logger) *FileSource {
	return &FileSource{reader: filewatch.NewReader(path, listfile.MaxBytes), every: every, log: log}
}

// Load reads the file now.
func (s *FileSource) Load() (*endpoints.List, error) {
	c, changed := s.reader.Read()
	if !changed {
		return nil, errors.New("unchanged")
	}
	if c.Err != nil {
		return nil, c.Err
	}
	entries, err := listfile.Parse(s.reader.Path(), c.Text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.reader.Path(), err)
	}
	s.version++
	return listfile.ListOf(s.version, entries), nil
}

// Run is Source's.
func (s *FileSource) Run(ctx context.Context, sink Sink) {
	filewatch.Watch(ctx, s.every, func() {
		c, changed := s.reader.Read()
		defer s.looks.Add(1)
		if !changed {
			return
		}
		if c.Err != nil {
			s.log.Warn("the last good list stays", "file", s.reader.Path(), "reason", c.Err)
			sink.Lost(c.Err, true)
			return
		}
		entries, err := listfile.Parse(s.reader.Path(), c.Text)
		if err != nil {
			s.log.Warn("the last good list stays", "file", s.reader.Path(), "reason", err)
			sink.Lost(err, true)
			return
		}
		s.version++
		sink.Update(listfile.ListOf(s.version, entries))
	})
}

// Refresh is Source's: the file is looked at anyway.
func (s *FileSource) Refresh() {}

// Polls is how often the file has been looked at, and what was new in it taken, since Run.
func (s *FileSource) Polls() int64 { return s.looks.Load() }
