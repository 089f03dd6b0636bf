package main

import (
	"net"
	"time"
)

// startLink starts a proxy that stands for the network between two machines: what is sent arrives after the delay, both ways, in order. It
// returns the proxy's address.
func startLink(to string, delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
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
	return listener.Addr().String(), nil
}

// parcel is what one read brought, and when it is due at the other end.
type parcel struct {
	bytes []byte
	due   time.Time
}

// carry passes on what one side sends.
func carry(from, to net.Conn, delay time.Duration) {
	parcels := make(chan parcel, 1024)
	go func() {
		defer close(parcels)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				parcels <- parcel{buffer[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parcels {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	time.Sleep(delay)
	to.Close()
	from.Close()
	for range parcels { // the reader ends with its connection
	}
}
