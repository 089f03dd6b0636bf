package tlscredentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a store on files that a test replaces.
type rig struct {
	*Store
	t     *testing.T
	files Files
	mu    sync.Mutex
	lines []string
}

func newRig(t *testing.T, pair fakes.Issued, ca []byte) *rig {
	t.Helper()
	dir := t.TempDir()
	r := &rig{t: t, files: Files{filepath.Join(dir, "crt"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}}
	r.write(pair, ca)
	var err error
	if r.Store, err = Open(r.files, 30*time.Minute, logging.NewFunc(r.log)); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) log(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *rig) said(part string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

func (r *rig) write(pair fakes.Issued, ca []byte) {
	base.Replace(r.t, r.files.Certificate, pair.Certificate)
	base.Replace(r.t, r.files.Key, pair.Key)
	base.Replace(r.t, r.files.CA, ca)
}

func serial(m *Material) string { return m.Pair.Leaf.SerialNumber.String() }

// Guards against a moment with the wrong pair, and against files that take a good one with them.
func TestStoreKeepsWhatIsGood(t *testing.T) {
	ca := base.CA(t, "one")
	first, second := base.Issue(t, ca, "a.example"), base.Issue(t, ca, "a.example")
	r := newRig(t, first, ca.PEM)
	was := r.Current()
	ended, err := ca.Issue(-time.Minute, "a.example")
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(){
		"the certificate alone": func() { base.Replace(t, r.files.Certificate, second.Certificate) },
		"the key alone":         func() { base.Replace(t, r.files.Key, second.Key) },
		"one that has ended": func() {
			base.Replace(t, r.files.Certificate, ended.Certificate)
			base.Replace(t, r.files.Key, ended.Key)
		},
		"half a key":       func() { base.Replace(t, r.files.Key, first.Key[:len(first.Key)/2]) },
		"no certificate":   func() { _ = os.Remove(r.files.Certificate) },
		"an empty CA":      func() { base.Replace(t, r.files.CA, nil) },
		"a key for the CA": func() { base.Replace(t, r.files.CA, first.Key) },
	} {
		change()
		r.Reload()
		if r.Current().Pair != was.Pair || r.Current().CA != was.CA {
			t.Errorf("%s was taken over", name)
		}
		r.write(first, ca.PEM)
		r.Reload()
		was = r.Current()
		if serial(was) != serialOf(t, first) {
			t.Errorf("after %s: not the first pair", name)
		}
	}
	if r.said("what is in use stays") < 7 {
		t.Errorf("said %q", r.lines)
	}
	for _, line := range r.lines {
		if strings.Contains(line, "PRIVATE") {
			t.Errorf("a key in the log: %s", line)
		}
	}
	base.Replace(t, r.files.Certificate, second.Certificate)
	r.Reload()
	base.Replace(t, r.files.Key, second.Key)
	r.Reload()
	if serial(r.Current()) != serialOf(t, second) {
		t.Error("a pair that fits, one after the other, was not taken over")
	}
	r.now = func() time.Time { return time.Now().Add(45 * time.Minute) }
	r.Reload()
	r.Reload()
	if n := r.said("ends soon"); n != 1 {
		t.Errorf("warned %d times ahead of the end", n)
	}
	r.now = func() time.Time { return time.Now().Add(3 * time.Hour) }
	r.Reload()
	if r.said("has ended") == 0 || serial(r.Current()) != serialOf(t, second) {
		t.Error("an end passed unsaid, or took the pair with it")
	}
	if _, err := Open(Files{r.files.CA, r.files.Key, ""}, 0, logging.NewFunc(r.log)); err == nil {
		t.Error("a pair that does not fit is taken at the start")
	}
}

func serialOf(t *testing.T, i fakes.Issued) string {
	t.Helper()
	pair, err := i.Pair()
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.String()
}

// listen accepts handshakes until the test ends, and returns where.
func listen(t *testing.T, config *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer conn.Close()
				if config == nil { // it takes the ClientHello, and says nothing
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = conn.Read(make([]byte, 1))
					return
				}
				c := tls.Server(conn, config)
				if c.HandshakeContext(t.Context()) == nil {
					_, _ = c.Write([]byte("x"))
					_, _ = c.Read(make([]byte, 1))
				}
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		all.Wait()
	})
	return l.Addr().String()
}

// shake makes one connection, and reads the byte that comes once the other side is content.
func shake(ctx context.Context, c *Client, at endpoints.Instance) (*tls.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", at.Address)
	if err != nil {
		return nil, err
	}
	secure, err := c.Handshake(ctx, conn, at)
	if err == nil {
		_ = secure.SetReadDeadline(time.Now().Add(base.Timeout))
		_, err = secure.Read(make([]byte, 1))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// Guards against an upstream that is taken for another one: by name, DNS or URI, by its authority, by its version, by the
// client certificate that it wants.
func TestHandshakes(t *testing.T) {
	ca, other := base.CA(t, "one"), base.CA(t, "two")
	const uri = "spiffe://orchid.example/node/7"
	node := base.ServerTLS(t, base.Issue(t, ca, "127.0.0.1", "node7.example", uri))
	foreign := base.ServerTLS(t, base.Issue(t, other, "127.0.0.1", "node7.example"))
	old := node.Clone()
	old.MaxVersion = tls.VersionTLS12
	mine := base.Issue(t, ca, "client.example")
	wants := func(from *fakes.CA) *tls.Config {
		c := node.Clone()
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, x509.NewCertPool()
		c.ClientCAs.AppendCertsFromPEM(from.PEM)
		return c
	}
	for _, c := range []struct {
		what     string
		server   *tls.Config
		name, id string
		d        UpstreamTLS
		good     bool
	}{
		{"by address", node, "", "", UpstreamTLS{}, true},
		{"by the service's name", node, "node7.example", "", UpstreamTLS{}, true},
		{"by the entry's name", node, "wrong.example", "node7.example", UpstreamTLS{}, true},
		{"by URI", node, "", uri, UpstreamTLS{}, true},
		{"another's name", node, "", "node8.example", UpstreamTLS{}, false},
		{"another's URI", node, "", uri + "0", UpstreamTLS{}, false},
		{"another authority", foreign, "node7.example", "", UpstreamTLS{}, false},
		{"an old version", old, "", "", UpstreamTLS{MinVersion: "1.3"}, false},
		{"an old version, taken", old, "", "", UpstreamTLS{MinVersion: "1.2"}, true},
		{"it wants a certificate", wants(ca), "", "", UpstreamTLS{Certificate: "y"}, true},
		{"it wants one, and gets none", wants(ca), "", "", UpstreamTLS{}, false},
		{"it wants another authority's", wants(other), "", "", UpstreamTLS{Certificate: "y"}, false},
	} {
		r := newRig(t, mine, ca.PEM)
		c.d.Name = c.name
		client := NewClient(r.Store, c.d)
		at := endpoints.Instance{Address: listen(t, c.server), TLSIdentity: c.id}
		for range 2 { // the second resumes, where there is something to resume
			conn, err := shake(t.Context(), client, at)
			if (err == nil) != c.good {
				t.Errorf("%s: %v", c.what, err)
			}
			if err == nil {
				conn.NetConn().Close()
			}
		}
	}
}

// Guards against a handshake that stalls after the ClientHello for as long as a client waits.
func TestHandshakeThatStalls(t *testing.T) {
	ca := base.CA(t, "one")
	r := newRig(t, base.Issue(t, ca, "a"), ca.PEM)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := shake(ctx, NewClient(r.Store, UpstreamTLS{}), endpoints.Instance{Address: listen(t, nil)}); err == nil {
		t.Error("a stalled handshake came up")
	}
}

// Guards against a rotation of authorities that breaks what is good, or keeps what is not: by overlap, old, both, new.
func TestAuthoritiesByOverlap(t *testing.T) {
	old, new := base.CA(t, "old"), base.CA(t, "new")
	r := newRig(t, base.Issue(t, old, "a"), old.PEM)
	client := NewClient(r.Store, UpstreamTLS{})
	before := endpoints.Instance{Address: listen(t, base.ServerTLS(t, base.Issue(t, old, "127.0.0.1")))}
	after := endpoints.Instance{Address: listen(t, base.ServerTLS(t, base.Issue(t, new, "127.0.0.1")))}
	open := func(at endpoints.Instance) *tls.Conn {
		t.Helper()
		conn, err := shake(t.Context(), client, at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.NetConn().Close() })
		return conn
	}
	kept := open(before)
	base.Replace(t, r.files.CA, append(append([]byte{}, old.PEM...), new.PEM...))
	r.Reload()
	fresh := open(after)
	open(before)
	if !client.StillTrusted(kept, before) || !client.StillTrusted(fresh, after) {
		t.Error("a good connection is closed while both are trusted")
	}
	base.Replace(t, r.files.CA, new.PEM)
	r.Reload()
	for range 2 {
		if client.StillTrusted(kept, before) || !client.StillTrusted(fresh, after) {
			t.Error("a withdrawn authority is trusted, or the other is not")
		}
	}
	if conn, err := shake(t.Context(), client, before); err == nil { // its session could be resumed
		conn.NetConn().Close()
		t.Error("a connection came up under a withdrawn authority")
	}
}
