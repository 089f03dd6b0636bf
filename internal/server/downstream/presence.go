package downstream

import "golang.org/x/sys/unix"

// checkClientGone reports whether the client has disconnected. It asks the system, since reads may not have reached the end of the connection:
// it may stand behind more requests than can be read ahead, or the reader may not have run yet.
func (c *conn) checkClientGone() bool {
	if c.clientGone.Load() || c.raw == nil {
		return c.clientGone.Load()
	}
	_ = c.raw.Control(func(fd uintptr) { // it fails if the socket is closed
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(poll, 0); err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			c.markClientGone()
		}
	})
	return c.clientGone.Load()
}
