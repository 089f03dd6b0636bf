package acceptor

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// A socket filter sees the TCP header first. Its byte tcpFlags has the flags; a SYN without ACK begins a connection.
const (
	tcpFlags   = 13
	tcpSyn     = 0x02
	tcpAck     = 0x10
	passWhole  = 0xffffffff
	dropWhole  = 0
	skipToPass = 1
)

// dropFirstSegments is a classic BPF program that drops the first segment of each new connection and passes all others: handshakes that
// have begun come to their end.
var dropFirstSegments = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSyn, Jf: skipToPass},
	{Code: unix.BPF_RET | unix.BPF_K, K: dropWhole},
	{Code: unix.BPF_RET | unix.BPF_K, K: passWhole},
}

// RejectConnects makes the system drop what would begin a new connection, so that the accept queue can be emptied before the listener is
// closed: closing it resets what waits there. A client whose first segment was dropped is refused at its retransmission, about 1 s later,
// if the listener is closed by then. Multipath TCP supports no filter. The filter is the socket's: it holds in every process that has it.
func (l *Listener) RejectConnects() error {
	program := unix.SockFprog{Len: uint16(len(dropFirstSegments)), Filter: &dropFirstSegments[0]}
	return control(l.Listener, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// AllowConnects takes back RejectConnects, also that of another process that has or had the socket.
func (l *Listener) AllowConnects() error { return AllowConnects(l.Listener) }

// AllowConnects is Listener.AllowConnects for a listener that comes from another process.
func AllowConnects(l net.Listener) error {
	err := control(l, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	if errors.Is(err, unix.ENOENT) { // it has no filter
		return nil
	}
	return err
}

// QueueLength returns how many connections the system has accepted that Accept has not returned yet.
func (l *Listener) QueueLength() (n int, err error) {
	err = control(l.Listener, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		n = int(info.Unacked) // of a listening socket: the length of its accept queue
		return nil
	})
	return n, err
}

// control calls f with a listener's descriptor.
func control(l net.Listener, f func(fd int) error) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}
