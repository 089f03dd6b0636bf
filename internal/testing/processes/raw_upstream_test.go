package processes

import (
	"context"
	"net"
	"sync"
	"testing"
)

// listenRaw starts an upstream that serves each connection with serve until the test ends. It returns the upstream's address.
func listenRaw(t *testing.T, serve func(ctx context.Context, conn net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer context.AfterFunc(t.Context(), func() { conn.Close() })()
				defer conn.Close()
				serve(t.Context(), conn)
			})
		}
	})
	return l.Addr().String()
}
