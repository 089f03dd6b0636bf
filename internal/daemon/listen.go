package daemon

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens the clients' address with SO_REUSEPORT, so that a successor may open it too while this process still serves.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	config.SetMultipathTCP(false) // a multipath socket takes no filter, see acceptor.Listener.RejectConnects
	return config.Listen(context.Background(), "tcp", address)
}
