package fakes

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// Reservation reserves an address, so that the kernel does not assign its port to a socket that listens or connects with any free
// port. Listeners that name the port can still use it. Without a reservation, another test may get the port of a server that has
// stopped or has not started yet.
type Reservation struct {
	fd      int
	Address string
}

// Reserve reserves a free IPv4 address until Release. "127.0.0.1:0" stands for any free port. The reservation itself does not
// listen.
func Reserve(address string) (*Reservation, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !at.Addr().Is4() {
		return nil, fmt.Errorf("reserve %s: not an IPv4 address", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	r := &Reservation{fd: fd}
	// A socket that is bound but does not listen does not block listeners that also set SO_REUSEADDR, as Go's listeners do.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		r.Release()
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: at.Addr().As4(), Port: int(at.Port())}); err != nil {
		r.Release()
		return nil, &net.OpError{Op: "reserve", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: os.NewSyscallError("bind", err)}
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		r.Release()
		return nil, os.NewSyscallError("getsockname", err)
	}
	r.Address = netip.AddrPortFrom(at.Addr(), uint16(name.(*syscall.SockaddrInet4).Port)).String()
	return r, nil
}

// Release ends the reservation. Further calls do nothing.
func (r *Reservation) Release() {
	if r.fd >= 0 {
		_ = syscall.Close(r.fd) // nothing was written to the socket
		r.fd = -1
	}
}
