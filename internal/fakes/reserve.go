package fakes

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// Reservation keeps an address for whoever asks for it by number: the system hands its port to nobody who wants any free one, be it
// to listen or to connect from. Without it the port of something that has ended, or is yet to start, may be another test's by then.
type Reservation struct {
	fd      int
	Address string
}

// Reserve reserves a loopback address over IPv4 whose port is free ("127.0.0.1:0": any), until Release. Nothing listens there before somebody does.
func Reserve(address string) (*Reservation, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !at.Addr().Is4() {
		return nil, fmt.Errorf("%s is not over IPv4", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	r := &Reservation{fd: fd}
	// Bound and not listening, it is in nobody's way who sets this option too, as Go's listeners do.
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

// Release gives the address back. A second call does nothing.
func (r *Reservation) Release() {
	if r.fd >= 0 {
		_ = syscall.Close(r.fd) // nothing was written to it
		r.fd = -1
	}
}
