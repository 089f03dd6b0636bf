// Package base is the part of testkit that knows no configuration, so that tests of what configurations are made of can
// use it: waiting on conditions, files, certificates and plain servers. Only tests import it.
package base

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
)

// Timeout bounds every wait of the tests; on a good run none comes near it.
const Timeout = 20 * time.Second

// Eventually waits for a condition.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// FreeAddress is one that nobody listens at but who is given it, to the test's end.
func FreeAddress(t testing.TB) string {
	t.Helper()
	r, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Address
}

// Dial connects; the connection ends with the test, or with Patience.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Timeout)) // should it fail, reads show it
	return c
}

// CA makes an authority.
func CA(t testing.TB, name string) *fakes.CA {
	t.Helper()
	ca, err := fakes.NewCA(name)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Issue makes a certificate that is good for an hour.
func Issue(t testing.TB, ca *fakes.CA, names ...string) fakes.Issued {
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
	return Serve(t, config, &http.Server{Handler: h})
}

// Serve is HTTP for a server that is more than its handler.
func Serve(t testing.TB, config *tls.Config, srv *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if config != nil {
		l = tls.NewListener(l, config)
	}
	srv.ErrorLog, srv.ReadHeaderTimeout = log.New(io.Discard, "", 0), Timeout
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
func ServerTLS(t testing.TB, i fakes.Issued) *tls.Config {
	t.Helper()
	pair, err := i.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
}

// Eureka starts a stand-in registry.
func Eureka(t testing.TB, o fakes.EurekaOptions) *fakes.Eureka {
	t.Helper()
	e, err := fakes.NewEureka(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// Etcd starts a store for the test's length, and returns where it listens.
func Etcd(t testing.TB, o fakes.EtcdOptions) (*fakes.Etcd, string) {
	t.Helper()
	e := fakes.NewEtcd(o)
	at, err := e.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, at
}
