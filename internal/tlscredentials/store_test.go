package tlscredentials

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// storeRig is a Store with files that a test replaces, and its log.
type storeRig struct {
	*Store
	t     *testing.T
	files Files
	mu    sync.Mutex
	lines []string
}

func newStoreRig(t *testing.T, pair fakes.Issued, ca []byte) *storeRig {
	t.Helper()
	dir := t.TempDir()
	r := &storeRig{t: t, files: Files{filepath.Join(dir, "crt"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}}
	r.write(pair, ca)
	var err error
	if r.Store, err = Open(r.files, 30*time.Minute, logging.NewFunc(r.log)); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *storeRig) log(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// countLogged returns the number of log lines that contain text.
func (r *storeRig) countLogged(text string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// write replaces all files.
func (r *storeRig) write(pair fakes.Issued, ca []byte) {
	base.Replace(r.t, r.files.Certificate, pair.Certificate)
	base.Replace(r.t, r.files.Key, pair.Key)
	base.Replace(r.t, r.files.CA, ca)
}

// serial returns the serial number of the certificate in use.
func (r *storeRig) serial() string { return r.Current().Pair.Leaf.SerialNumber.String() }

func serialOf(t *testing.T, issued fakes.Issued) string {
	t.Helper()
	pair, err := issued.Pair()
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.String()
}

// TestInvalidFilesAreNotUsed checks that files that are not valid or do not match leave the credentials in use, that an error is logged,
// that valid files are used afterwards, and that no key is logged.
func TestInvalidFilesAreNotUsed(t *testing.T) {
	ca := base.CA(t, "one")
	first, second := base.Issue(t, ca, "a.example"), base.Issue(t, ca, "a.example")
	r := newStoreRig(t, first, ca.PEM)
	expired, err := ca.Issue(-time.Minute, "a.example")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		change func()
	}{
		{"the certificate alone", func() { base.Replace(t, r.files.Certificate, second.Certificate) }},
		{"the key alone", func() { base.Replace(t, r.files.Key, second.Key) }},
		{"an expired certificate", func() {
			base.Replace(t, r.files.Certificate, expired.Certificate)
			base.Replace(t, r.files.Key, expired.Key)
		}},
		{"half a key", func() { base.Replace(t, r.files.Key, first.Key[:len(first.Key)/2]) }},
		{"no certificate", func() { _ = os.Remove(r.files.Certificate) }},
		{"an empty CA", func() { base.Replace(t, r.files.CA, nil) }},
		{"a key for the CA", func() { base.Replace(t, r.files.CA, first.Key) }},
	}
	for _, c := range cases {
		before := r.Current()
		c.change()
		r.Reload()
		if r.Current().Pair != before.Pair || r.Current().CA != before.CA {
			t.Errorf("%s: the invalid file replaced the credentials in use", c.name)
		}
		r.write(first, ca.PEM)
		r.Reload()
		if r.serial() != serialOf(t, first) {
			t.Errorf("after %s: the valid first pair is not in use", c.name)
		}
	}
	if r.countLogged("what is in use stays") < len(cases) {
		t.Errorf("some invalid file was not logged; the log is %q", r.lines)
	}
	if r.countLogged("PRIVATE") > 0 {
		t.Errorf("a private key was logged: %q", r.lines)
	}
	if _, err := Open(Files{r.files.CA, r.files.Key, ""}, 0, logging.NewFunc(r.log)); err == nil {
		t.Error("Open accepts a certificate and a key that do not match")
	}
}

// TestPairIsReplacedAndExpires checks that a new pair is used once both of its files are there, that one warning is logged before the
// pair expires and another one afterwards, and that an expired pair stays in use.
func TestPairIsReplacedAndExpires(t *testing.T) {
	ca := base.CA(t, "one")
	first, second := base.Issue(t, ca, "a.example"), base.Issue(t, ca, "a.example")
	r := newStoreRig(t, first, ca.PEM)
	base.Replace(t, r.files.Certificate, second.Certificate)
	r.Reload()
	base.Replace(t, r.files.Key, second.Key)
	r.Reload()
	if r.serial() != serialOf(t, second) {
		t.Error("a valid pair, replaced one file after the other, is not used")
	}
	r.now = func() time.Time { return time.Now().Add(45 * time.Minute) }
	r.Reload()
	r.Reload()
	if n := r.countLogged("ends soon"); n != 1 {
		t.Errorf("got %d warnings before the certificate expires, want 1", n)
	}
	r.now = func() time.Time { return time.Now().Add(3 * time.Hour) }
	r.Reload()
	if r.countLogged("has expired") == 0 || r.serial() != serialOf(t, second) {
		t.Error("the expiry was not logged, or the expired pair is not in use any more")
	}
}
