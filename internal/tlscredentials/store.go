// Package tlscredentials keeps certificates, keys and authorities, as the files hold them now: a Store takes over what is new as
// soon as it is whole and fits, and keeps what it has otherwise. tls.go makes crypto/tls configurations of it. A key is
// never logged.
package tlscredentials

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/filewatch"
)

const (
	maxFile = 1 << 20
	// warnEvery is how often an approaching end is warned of.
	warnEvery = time.Hour
)

// Files names what a Store reads. Empty: there is none.
type Files struct{ Certificate, Key, CA string }

// Material is one state of the files. It is immutable.
type Material struct {
	Pair       *tls.Certificate // nil: none
	CA         *x509.CertPool   // nil: none
	Generation int64            // of CA: grows with each other one
}

// Store follows files. It is safe for concurrent use.
type Store struct {
	files      Files
	warnBefore time.Duration
	log        *slog.Logger
	now        func() time.Time

	current atomic.Pointer[Material]

	mu            sync.Mutex // of what follows
	cert, key, ca *filewatch.Reader
	certText      []byte // the newest readable content of the files, in use or not
	keyText       []byte
	said          string // the last complaint
	warned        time.Time
}

// Open reads the files for the first time; what can't be used is an error here. Run follows them.
func Open(files Files, warnBefore time.Duration, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, warnBefore: warnBefore, log: log, now: time.Now}
	reader := func(path string) *filewatch.Reader {
		if path == "" {
			return nil
		}
		return filewatch.NewReader(path, maxFile)
	}
	s.cert, s.key, s.ca = reader(files.Certificate), reader(files.Key), reader(files.CA)
	s.current.Store(&Material{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(s.lookPair(), s.lookCA()); err != nil {
		return nil, err
	}
	s.warn()
	return s, nil
}

// Current is the material in use.
func (s *Store) Current() *Material { return s.current.Load() }

// Run follows the files until ctx ends.
func (s *Store) Run(ctx context.Context) { filewatch.Watch(ctx, every, s.Reload) }

// Reload looks at the files now.
func (s *Store) Reload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.lookPair(), s.lookCA())
	if err != nil && err.Error() != s.said {
		s.log.Warn("keys: what is in use stays", "reason", oneLine(err))
		s.said = err.Error()
	}
	s.warn()
}

// lookPair takes over a new certificate and key. They are two files, replaced one after the other: until they fit
// together the old pair stays, so that there is no moment with a wrong one.
func (s *Store) lookPair() error {
	if s.cert == nil {
		return nil
	}
	changed := false
	for _, f := range []struct {
		r    *filewatch.Reader
		text *[]byte
	}{{s.cert, &s.certText}, {s.key, &s.keyText}} {
		c, new := f.r.Read()
		switch {
		case !new:
		case c.Err != nil:
			return c.Err
		default:
			*f.text, changed = c.Text, true
		}
	}
	if !changed {
		return nil
	}
	pair, err := tls.X509KeyPair(s.certText, s.keyText)
	if err != nil {
		return fmt.Errorf("%s and %s: %w", s.files.Certificate, s.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", s.files.Certificate, err)
		}
	}
	now := s.now()
	switch {
	case now.After(pair.Leaf.NotAfter):
		return fmt.Errorf("%s has ended on %s", s.files.Certificate, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	case now.Before(pair.Leaf.NotBefore):
		return fmt.Errorf("%s begins on %s only", s.files.Certificate, pair.Leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	m := *s.Current()
	first := m.Pair == nil
	m.Pair = &pair
	s.current.Store(&m)
	s.warned, s.said = time.Time{}, ""
	if !first {
		s.log.Info("keys: taken over", "file", s.files.Certificate, "until", pair.Leaf.NotAfter.UTC())
	}
	return nil
}

func (s *Store) lookCA() error {
	if s.ca == nil {
		return nil
	}
	c, changed := s.ca.Read()
	switch {
	case !changed:
		return nil
	case c.Err != nil:
		return c.Err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bytes.TrimSpace(c.Text)) {
		return fmt.Errorf("%s holds no certificate of an authority", s.files.CA)
	}
	m := *s.Current()
	first := m.CA == nil
	m.CA = pool
	m.Generation++
	s.current.Store(&m)
	s.said = ""
	if !first {
		s.log.Info("keys: taken over", "file", s.files.CA)
	}
	return nil
}

// warn tells of a certificate that ends soon, or has ended: it is still shown, since none may be worse.
func (s *Store) warn() {
	pair := s.Current().Pair
	if pair == nil {
		return
	}
	now, end := s.now(), pair.Leaf.NotAfter
	if end.Sub(now) > s.warnBefore || now.Sub(s.warned) < warnEvery {
		return
	}
	s.warned = now
	if now.After(end) {
		s.log.Error("keys: the certificate has ended, and there is no new one", "file", s.files.Certificate, "until", end.UTC())
		return
	}
	s.log.Warn("keys: the certificate ends soon", "file", s.files.Certificate, "until", end.UTC())
}

func oneLine(err error) string {
	return string(bytes.Join(bytes.Fields([]byte(err.Error())), []byte(" ")))
}
