package measure

import (
	"context"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"
)

func TestMain(m *testing.M) {
	if isChild, err := RunChild(); isChild {
		if err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// BenchmarkClient measures a call through each policy. The nodes run in a process of their own:
//
//	go test -run '^$' -bench Client -benchmem -cpu 1 ./internal/measure
func BenchmarkClient(b *testing.B) {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 10, GRPC: true}, &addresses)
	if err != nil {
		b.Fatal(err)
	}
	defer nodes.stop()
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			conn, closeConn, err := childRole{Policy: p.name, Addresses: addresses}.dial()
			if err != nil {
				b.Fatal(err)
			}
			defer closeConn()
			req := wrapperspb.String("seat 4")
			b.SetParallelism(16)
			b.ReportAllocs()
			before := currentUsage()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					if err := conn.Invoke(ctx, "/booking.Seats/Search", req, &wrapperspb.StringValue{}); err != nil {
						b.Error(err)
					}
					cancel()
				}
			})
			b.ReportMetric(float64(currentUsage().CPU-before.CPU)/float64(b.N), "cpu-ns/op")
		})
	}
}
