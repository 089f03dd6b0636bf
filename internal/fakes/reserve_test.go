package fakes

import (
	"net"
	"testing"
)

// Guards against a reservation that is in the way of what it is for, or that gives the port away while nothing listens there.
func TestReservation(t *testing.T) {
	r, err := Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	if c, err := net.Dial("tcp", r.Address); err == nil {
		c.Close()
		t.Error("something listens there")
	}
	for range 3 { // it is listened at again and again, as by what is stopped and started
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
		t.Error("an address without a port is reserved")
	}
	if _, err := Reserve("[::1]:0"); err == nil {
		t.Error("an address over IPv6 is reserved")
	}
	r.Release()
	r.Release()
}
