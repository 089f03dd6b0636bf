package processes

import (
	"net"
	"syscall"
)

// ConnectionEnded reports whether the server has ended a connection on which no response is awaited: its end, or the TLS alert before it,
// waits to be read. A client that keeps connections looks before it sends another request.
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
