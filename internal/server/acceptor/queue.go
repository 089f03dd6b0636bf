package acceptor

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The socket filter sees a segment from its TCP header on, whose byte at tcpFlagsOffset has the flags. A segment with SYN and without ACK
// begins a connection.
const (
	tcpFlagsOffset = 13
	tcpSyn         = 0x02
	tcpAck         = 0x10
	passSegment    = 0xffffffff
	dropSegment    = 0
	skipToPass     = 1
)

// dropFirstSegments is a classic BPF program that drops the first segment of each new connection and passes all others, so that
// handshakes that have begun are completed.
var dropFirstSegments = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSyn, Jf: skipToPass},
	{Code: unix.BPF_RET | unix.BPF_K, K: dropSegment},
	{Code: unix.BPF_RET | unix.BPF_K, K: passSegment},
}

// RejectConnects makes the system drop the first segment of each new connection, so that the accept queue can be emptied before the
// listener is closed: closing it resets the connections in the queue. A client whose first segment was dropped is refused at its
// retransmission, about 1 s later, if the listener is closed by then. Multipath TCP supports no filter. The filter belongs to the socket
// and so applies to every process that has the socket open.
func (l *Listener) RejectConnects() error {
	program := unix.SockFprog{Len: uint16(len(dropFirstSegments)), Filter: &dropFirstSegments[0]}
	return control(l.Listener, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// AllowConnects reverts RejectConnects, even if RejectConnects was called by another process that has or had the socket open.
func (l *Listener) AllowConnects() error { return AllowConnects(l.Listener) }

// AllowConnects does the same as Listener.AllowConnects, for a listener that was received from another process.
func AllowConnects(l net.Listener) error {
	err := control(l, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	if errors.Is(err, unix.ENOENT) { // the socket has no filter
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

// control calls f with the file descriptor of a listener.
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
