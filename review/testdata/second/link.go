package main

import (
	"net"
	"time"
)

// piece is what one read brought, and when it is due at the other end.
type piece struct {
	bytes []byte
	due   time.Time
}

// startLink starts a proxy that stands for the network between two data centres: what is sent arrives after the delay, both ways, in order.
// It returns the proxy's address. The trial ends it.
func (t *trial) startLink(to string, delay time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	t.mu.Lock()
	t.links = append(t.links, l)
	t.mu.Unlock()
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", to)
				if err != nil {
					near.Close()
					return
				}
				go carry(near, far, delay)
				carry(far, near, delay)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// carry passes on what one side sends, and its end.
func carry(from, to net.Conn, delay time.Duration) {
	under := make(chan piece, 1024)
	go func() {
		defer close(under)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				under <- piece{buffer[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range under {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	time.Sleep(delay)
	to.Close()
	from.Close()
	for range under { // the reader ends with its connection
	}
}
