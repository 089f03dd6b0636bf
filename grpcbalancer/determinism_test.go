package grpcbalancer_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
)

// recordTrace makes 150 calls one after another in virtual time, with a Plugin, grpc-go, and nodes that it reaches over in-memory
// connections. It returns the time, the answering node and the status code of each call. The nodes differ in speed; one becomes slow for a
// time, one refuses streams, and one freezes.
func recordTrace(t *testing.T, seed uint64) string {
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		listeners := map[string]*bufconn.Listener{}
		o := grpcbalancer.Options{Settings: settings(), Seed: seed, Files: files(t)}
		for i, faults := range [][]fakes.Fault{
			nil,
			{{Kind: fakes.Slow, Factor: 10, From: 2 * time.Second, To: 6 * time.Second}},
			{{Kind: fakes.RefuseStream, From: 3 * time.Second, To: 4 * time.Second}},
			{{Kind: fakes.Freeze, From: time.Second, Every: 1500 * time.Millisecond, For: 300 * time.Millisecond}},
		} {
			name := fmt.Sprint("n", i)
			body, err := proto.Marshal(wrapperspb.String(name))
			if err != nil {
				t.Fatal(err)
			}
			node := fakes.NewNode(fakes.NodeOptions{Name: name, DefaultServiceTime: time.Duration(10+5*i) * time.Millisecond,
				Faults: faults, Seed: uint64(i), Answer: func(fakes.Job) []byte { return body }})
			address := fmt.Sprintf("127.0.0.1:%d", i+1) // never dialled
			listeners[address] = bufconn.Listen(1 << 16)
			node.ServeGRPC(listeners[address])
			defer node.Close()
			o.Endpoints = append(o.Endpoints, grpcbalancer.Endpoint{Name: name, Address: address, Zone: "a"})
		}
		p, err := grpcbalancer.New(o)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
				return listeners[address].DialContext(ctx)
			}))...)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		begun := time.Now()
		for i := range 150 {
			name, err := invoke(t.Context(), conn, []string{search, record, confirm}[i%3])
			fmt.Fprintf(&out, "%v %s %v\n", time.Since(begun).Round(time.Millisecond), name, status.Code(err))
			time.Sleep(20 * time.Millisecond)
		}
	})
	return out.String()
}

// Decisions depend only on the seed and on the events: two runs with the same seed give the same nodes, answers and times, to the
// millisecond of virtual time. Another seed gives a different trace.
func TestSameSeedSameTrace(t *testing.T) {
	first, second, other := recordTrace(t, 1), recordTrace(t, 1), recordTrace(t, 2)
	if first != second {
		a, b := strings.Split(first, "\n"), strings.Split(second, "\n")
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("call %d differs between two runs with the same seed: %q, then %q", i, a[i], b[i])
			}
		}
	}
	if first == other {
		t.Error("two runs with different seeds gave the same trace")
	}
}
