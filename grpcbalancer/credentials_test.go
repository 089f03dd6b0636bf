package grpcbalancer_test

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// newEncryptedFleet starts nodes with certificates of an authority, and a ClientConn of a Plugin that trusts the authority. It returns the
// path of the Plugin's CA file.
func newEncryptedFleet(t *testing.T, ca *fakes.CA, identity string, log func(string), names ...string) (*fleet, *grpc.ClientConn, string) {
	t.Helper()
	var options []fakes.NodeOptions
	for _, name := range names {
		config := base.ServerTLS(t, base.Issue(t, ca, "127.0.0.1", name))
		config.NextProtos = []string{"h2"}
		options = append(options, fakes.NodeOptions{Name: name, TLS: config})
	}
	f := newFleet(t, options...)
	for i := range f.endpoints {
		f.endpoints[i].Identity = identity
	}
	trusted := filepath.Join(t.TempDir(), "ca.crt")
	base.Replace(t, trusted, ca.PEM)
	p, err := grpcbalancer.New(grpcbalancer.Options{Settings: settings(), Seed: 7, Endpoints: f.endpoints, Files: files(t),
		TLS: &grpcbalancer.TLS{CA: trusted}, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	conn, err := grpc.NewClient(p.Target(), p.DialOptions()...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return f, conn, trusted
}

// A node's certificate must have the identity of its endpoint; a call whose handshake fails did not run. New rejects invalid TLS options.
func TestEncryptedCalls(t *testing.T) {
	ca := base.CA(t, "one")
	for identity, want := range map[string]codes.Code{"": codes.OK, "node.example": codes.OK, "other.example": codes.Unavailable} {
		f, conn, _ := newEncryptedFleet(t, ca, identity, nil, "node.example")
		_, err := invoke(t.Context(), conn, confirm)
		if status.Code(err) != want || err != nil && grpcbalancer.MayHaveRun(err) {
			t.Errorf("identity %q: the call ended with the wrong status, or with an error that says it may have run although the handshake failed: %v", identity, err)
		}
		if n := f.ledger.Nodes()["node.example"].Executed; (n > 0) != (want == codes.OK) {
			t.Errorf("identity %q: %d calls ran on the node, want one exactly if the certificate has the identity", identity, n)
		}
	}
	for _, bad := range []grpcbalancer.TLS{{}, {CA: "/nonexistent"}, {CA: "/nonexistent", Certificate: "/c"}} {
		if _, err := grpcbalancer.New(grpcbalancer.Options{Settings: settings(), Endpoints: []grpcbalancer.Endpoint{{Name: "a",
			Address: "127.0.0.1:1"}}, TLS: &bad}); err == nil {
			t.Errorf("New accepted the invalid TLS options %+v", bad)
		}
	}
}

// After an authority is replaced, no new call uses a connection made under the old one, and open streams finish.
func TestReplacedAuthority(t *testing.T) {
	ca, next := base.CA(t, "one"), base.CA(t, "two")
	var reloads atomic.Int64
	_, conn, trusted := newEncryptedFleet(t, ca, "", func(line string) {
		if contains(line, "taken over") {
			reloads.Add(1)
		}
	}, "node.example")
	if _, err := invoke(t.Context(), conn, search); err != nil {
		t.Fatal(err)
	}
	running := openServerStream(t, t.Context(), conn, search, 100, 10*time.Millisecond)
	if err := running.RecvMsg(&wrapperspb.StringValue{}); err != nil {
		t.Fatal(err)
	}
	base.Replace(t, trusted, next.PEM)
	testutil.Eventually(t, "the new authority is loaded", func() bool { return reloads.Load() > 0 })
	testutil.Eventually(t, "no call uses the old connection", func() bool {
		_, err := invoke(t.Context(), conn, confirm)
		return status.Code(err) == codes.Unavailable && !grpcbalancer.MayHaveRun(err)
	})
	if got, err := receiveAll(running); err != nil || len(got) != 99 {
		t.Errorf("the stream that was open got %d more messages, want 99; error %v", len(got), err)
	}
	base.Replace(t, trusted, append(append([]byte{}, next.PEM...), ca.PEM...))
	testutil.Eventually(t, "calls are served when both authorities are trusted", func() bool {
		_, err := invoke(t.Context(), conn, search)
		return err == nil
	})
}
