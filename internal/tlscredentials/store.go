// Package tlscredentials loads certificates, private keys and CA certificates from files, and reloads files that change. A Store replaces
// its credentials only if the new ones are complete and valid. server.go and client.go build crypto/tls configurations from a Store.
// Private keys are never logged.
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
	// pollInterval is how often Run reads the files.
	pollInterval = 250 * time.Millisecond
	// maxFileBytes is the size of the largest file that is read.
	maxFileBytes = 1 << 20
	// expiryWarningInterval is the time between two warnings that a certificate expires.
	expiryWarningInterval = time.Hour
)

// Files holds the paths of a Store's PEM files. An empty path means that there is no such file.
type Files struct{ Certificate, Key, CA string }

// Material is an immutable snapshot of a Store's credentials.
type Material struct {
	Pair       *tls.Certificate // nil if there is none
	CA         *x509.CertPool   // nil if there is none
	Generation int64            // increases with each change of CA
}

// Store holds the credentials of a set of files. It is safe for concurrent use.
type Store struct {
	files      Files
	warnBefore time.Duration // how long before a certificate expires warnings begin
	log        *slog.Logger
	now        func() time.Time

	current atomic.Pointer[Material]

	mu                               sync.Mutex // guards the fields below, and changes of current
	certificateFile, keyFile, caFile *filewatch.Reader
	certificateText, keyText         []byte // the latest content of the files, valid or not
	loggedError                      string // the error that was logged last, not to be logged again
	warnedAt                         time.Time
}

// Open returns a Store with the credentials in the files, or an error if they are not valid. Run reloads files that change.
func Open(files Files, warnBefore time.Duration, log *slog.Logger) (*Store, error) {
	s := &Store{
		files:           files,
		warnBefore:      warnBefore,
		log:             log,
		now:             time.Now,
		certificateFile: newReader(files.Certificate),
		keyFile:         newReader(files.Key),
		caFile:          newReader(files.CA),
	}
	s.current.Store(&Material{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(s.reloadPair(), s.reloadCA()); err != nil {
		return nil, err
	}
	s.warnOfExpiry()
	return s, nil
}

func newReader(path string) *filewatch.Reader {
	if path == "" {
		return nil
	}
	return filewatch.NewReader(path, maxFileBytes)
}

// Current returns the credentials in use.
func (s *Store) Current() *Material { return s.current.Load() }

// Run reloads files that change, until ctx ends.
func (s *Store) Run(ctx context.Context) { filewatch.Watch(ctx, pollInterval, s.Reload) }

// Reload reads the files now. If they cannot be read or are not valid it logs the error, and the credentials in use stay.
func (s *Store) Reload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.reloadPair(), s.reloadCA())
	if err != nil && err.Error() != s.loggedError {
		s.log.Warn("keys: what is in use stays", "reason", oneLine(err))
		s.loggedError = err.Error()
	}
	s.warnOfExpiry()
}

// reloadPair replaces the certificate and its key if they have changed and are valid. Since the two files are replaced one after the other,
// the old pair stays in use until the new files match.
func (s *Store) reloadPair() error {
	if s.certificateFile == nil {
		return nil
	}
	changed, err := s.readPair()
	if err != nil || !changed {
		return err
	}
	pair, err := s.parsePair()
	if err != nil {
		return err
	}
	m := *s.Current()
	first := m.Pair == nil
	m.Pair = pair
	s.current.Store(&m)
	s.warnedAt, s.loggedError = time.Time{}, ""
	if !first {
		s.log.Info("keys: taken over", "file", s.files.Certificate, "until", pair.Leaf.NotAfter.UTC())
	}
	return nil
}

// readPair reads the files of the certificate and its key, and reports whether one of them has changed.
func (s *Store) readPair() (changed bool, err error) {
	for _, file := range []struct {
		reader *filewatch.Reader
		text   *[]byte
	}{{s.certificateFile, &s.certificateText}, {s.keyFile, &s.keyText}} {
		content, fileChanged := file.reader.Read()
		if content.Err != nil {
			return false, content.Err
		}
		if fileChanged {
			*file.text, changed = content.Text, true
		}
	}
	return changed, nil
}

// parsePair parses the certificate and its key, which must match and be valid now.
func (s *Store) parsePair() (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(s.certificateText, s.keyText)
	if err != nil {
		return nil, fmt.Errorf("parse certificate %s and key %s: %w", s.files.Certificate, s.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, fmt.Errorf("parse certificate %s: %w", s.files.Certificate, err)
		}
	}
	now := s.now()
	switch {
	case now.After(pair.Leaf.NotAfter):
		return nil, fmt.Errorf("certificate %s expired on %s", s.files.Certificate, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	case now.Before(pair.Leaf.NotBefore):
		return nil, fmt.Errorf("certificate %s is not valid before %s", s.files.Certificate, pair.Leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	return &pair, nil
}

// reloadCA replaces the CA certificates if their file has changed and contains at least one certificate.
func (s *Store) reloadCA() error {
	if s.caFile == nil {
		return nil
	}
	content, changed := s.caFile.Read()
	if !changed || content.Err != nil {
		return content.Err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bytes.TrimSpace(content.Text)) {
		return fmt.Errorf("%s contains no CA certificate", s.files.CA)
	}
	m := *s.Current()
	first := m.CA == nil
	m.CA = pool
	m.Generation++
	s.current.Store(&m)
	s.loggedError = ""
	if !first {
		s.log.Info("keys: taken over", "file", s.files.CA)
	}
	return nil
}

// warnOfExpiry logs that the certificate expires soon or has expired. An expired certificate stays in use: peers may still accept it, and
// there is no other.
func (s *Store) warnOfExpiry() {
	pair := s.Current().Pair
	if pair == nil {
		return
	}
	now, expiry := s.now(), pair.Leaf.NotAfter
	if expiry.Sub(now) > s.warnBefore || now.Sub(s.warnedAt) < expiryWarningInterval {
		return
	}
	s.warnedAt = now
	if now.After(expiry) {
		s.log.Error("keys: the certificate has expired, and there is no new one", "file", s.files.Certificate, "until", expiry.UTC())
		return
	}
	s.log.Warn("keys: the certificate ends soon", "file", s.files.Certificate, "until", expiry.UTC())
}

// oneLine returns the text of joined errors on one line.
func oneLine(err error) string {
	return string(bytes.Join(bytes.Fields([]byte(err.Error())), []byte(" ")))
}
