// Package base is the part of testutil that does not import internal/config. Tests of packages that config imports can therefore use
// it. It provides waiting for conditions, files, certificates and plain servers. Only tests import it.
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

// Timeout is the timeout of waits that should always succeed.
const Timeout = 20 * time.Second

// Eventually waits until ok returns true. After Timeout it fails the test with a message that contains condition.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", condition)
		}
	}
}

// FreeAddress reserves a free loopback address until the end of the test, so that no other test gets its port.
func FreeAddress(t testing.TB) string {
	t.Helper()
	r, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Address
}

// Dial connects to address and sets a deadline of Timeout for reads and writes. The connection is closed at the end of the test.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Timeout)) // after an error, later reads fail too
	return c
}

// CA returns a new certificate authority.
func CA(t testing.TB, name string) *fakes.CA {
	t.Helper()
	ca, err := fakes.NewCA(name)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Issue returns a certificate that is valid for an hour.
func Issue(t testing.TB, ca *fakes.CA, names ...string) fakes.Issued {
	t.Helper()
	i, err := ca.Issue(time.Hour, names...)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// Replace writes a file atomically. It replaces an existing file.
func Replace(t testing.TB, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// File writes a file into a new temporary directory of the test and returns the path of the file.
func File(t testing.TB, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	Replace(t, path, text)
	return path
}

// HTTP serves a handler on a free port and returns the address. It uses TLS if config is not nil.
func HTTP(t testing.TB, config *tls.Config, h http.HandlerFunc) string {
	t.Helper()
	return Serve(t, config, &http.Server{Handler: h})
}

// Serve does the same as HTTP for a server instead of a handler.
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

// ServerTLS returns the TLS configuration of an HTTP/1.1 server with the issued certificate.
func ServerTLS(t testing.TB, i fakes.Issued) *tls.Config {
	t.Helper()
	pair, err := i.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
}

// Eureka starts a fake Eureka registry, which is closed at the end of the test.
func Eureka(t testing.TB, o fakes.EurekaOptions) *fakes.Eureka {
	t.Helper()
	e, err := fakes.NewEureka(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// Etcd starts a fake etcd server, which is closed at the end of the test, and returns its address.
func Etcd(t testing.TB, o fakes.EtcdOptions) (*fakes.Etcd, string) {
	t.Helper()
	e := fakes.NewEtcd(o)
	address, err := e.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, address
}
