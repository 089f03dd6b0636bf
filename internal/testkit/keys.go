package testkit

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"orchiddrift/internal/standin"
)

// CA makes an authority.
func CA(t testing.TB, name string) *standin.CA {
	t.Helper()
	ca, err := standin.NewCA(name)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Issue makes a certificate that is good for an hour.
func Issue(t testing.TB, ca *standin.CA, names ...string) standin.Issued {
	t.Helper()
	i, err := ca.Issue(time.Hour, names...)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// Replace writes a file as it should be: by renaming.
func Replace(t testing.TB, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// File writes one into a folder of the test's own and returns its path.
func File(t testing.TB, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	Replace(t, path, text)
	return path
}

// HTTP serves a handler at a free port, encrypted where config is not nil, and returns where.
func HTTP(t testing.TB, config *tls.Config, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if config != nil {
		l = tls.NewListener(l, config)
	}
	srv := &http.Server{Handler: h, ErrorLog: nil, ReadHeaderTimeout: Patience}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l) // ends with Close
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
	})
	return address
}

// ServerTLS is a configuration that shows an issued certificate.
func ServerTLS(t testing.TB, i standin.Issued) *tls.Config {
	t.Helper()
	pair, err := i.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
}
