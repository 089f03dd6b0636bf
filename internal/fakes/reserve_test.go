package fakes

import (
	"net"
	"testing"
)

// TestReservation guards against a reservation that prevents other sockets from listening at its address, or that
// itself listens there.
func TestReservation(t *testing.T) {
	r, err := Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	if c, err := net.Dial("tcp", r.Address); err == nil {
		c.Close()
		t.Error("connected to the reserved address although nothing should listen there")
	}
	for range 3 { // listens repeatedly, as a server that is restarted does
		l, err := net.Listen("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		l.Close()
	}
	if _, err := Reserve("127.0.0.1"); err == nil {
		t.Error("Reserve accepted an address without a port")
	}
	if _, err := Reserve("[::1]:0"); err == nil {
		t.Error("Reserve accepted an IPv6 address")
	}
	r.Release()
	r.Release()
}
