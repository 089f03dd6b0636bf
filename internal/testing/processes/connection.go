package processes

import (
	"net"
	"syscall"
)

// ConnectionEnded reports whether the server has closed an idle connection. It returns true if an end of file, a reset or the TLS
// alert that precedes a close can be read from socket. A client with persistent connections calls it before it sends another request on such
// a connection.
func ConnectionEnded(socket net.Conn) (ended bool) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil
		return true
	})
	return ended || err != nil
}
