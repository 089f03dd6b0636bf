package downstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Presence says what is known about the client of a request.
type Presence int

const (
	// Present means that the connection has not ended.
	Present Presence = iota
	// Unseen means that the connection may have ended some time ago: its end would stand behind more bytes than were read ahead and than
	// the system takes.
	Unseen
	// Gone means that the connection has ended, or its client has closed its sending side.
	Gone
)

const (
	// visibleEndBytes is a number of unread bytes beside which the system has space for more, and so for the end of a connection that
	// follows them. The receive buffer of a new connection holds 64 KiB.
	visibleEndBytes = 16 << 10
	// maxUnseen is how long after the last sign of its client a request may be sent while the end of the connection cannot be seen. A
	// request may begin 100 ms after its client has closed.
	maxUnseen = 50 * time.Millisecond
)

// presence returns what is known about the client. It asks the system, since reads may not have reached the end of the connection, or the
// reader may not have run yet.
func (c *conn) presence(now time.Time) Presence {
	if c.clientGone.Load() {
		return Gone
	}
	if c.raw == nil {
		return Present
	}
	found := Present
	_ = c.raw.Control(func(fd uintptr) { // it fails if the socket is closed
		found = c.presenceOf(int(fd), now)
	})
	if found == Gone {
		c.markClientGone()
	}
	return found
}

func (c *conn) presenceOf(fd int, now time.Time) Presence {
	if hasEnded(fd) {
		return Gone
	}
	if !c.arrival.inFlight() || !c.requestsBehind(1) || now.Sub(c.lastSign()) <= maxUnseen {
		return Present
	}
	if unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil && unread > visibleEndBytes {
		return Unseen
	}
	return Present
}

// hasEnded reports whether the system knows that the other side of a connection has ended it, or has closed its sending side.
func hasEnded(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// checkLeftUnread records that the client has ended the connection behind a request that has not been read completely, if it has. Nobody reads
// on while an upstream blocks the request.
func (c *conn) checkLeftUnread() {
	if c.raw == nil || c.arrival.partialSince.Load() == 0 || c.arrival.complete.Load() != c.arrival.ended.Load() {
		return
	}
	left := false
	_ = c.raw.Control(func(fd uintptr) { left = hasEnded(int(fd)) }) // it fails if the socket is closed
	if left {
		c.markClientGone()
	}
}

// Write implements net.Conn. A client that has closed its connection answers with a reset, which the system then reports.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.recordSign()
	}
	return n, err
}

// recordSign records that the client gives a sign now.
func (c *conn) recordSign() { c.signAt.Store(int64(time.Since(processStart))) }

// lastSign returns when the client last gave a sign: it sent the first bytes of the connection, or of a request after a rest, or it did not
// reject bytes of an answer.
func (c *conn) lastSign() time.Time { return processStart.Add(time.Duration(c.signAt.Load())) }

// recordArrival records when the client last sent something, for a connection that may have waited to be accepted.
func (c *conn) recordArrival() {
	age := time.Duration(0)
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		age = lastReceived(tcp)
	}
	c.signAt.Store(int64(time.Since(processStart) - age))
}

// lastReceived returns how long ago the system received the latest bytes of a connection, or 0 if it does not tell.
func lastReceived(socket syscall.Conn) (age time.Duration) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
