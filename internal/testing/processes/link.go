package processes

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is a fault of a link in one direction. With the zero Fault the link forwards bytes at once.
type Fault struct {
	Drop   bool          `json:"drop,omitempty"`   // hold all bytes back until the fault ends, as TCP retransmits lost bytes
	Delay  time.Duration `json:"delay,omitempty"`  // time added to each chunk; the order of the bytes does not change
	Jitter time.Duration `json:"jitter,omitempty"` // maximum of the random delay that is added to Delay
}

// The directions of a link. A link is named after the process that opens its connections and the process that accepts them.
const (
	Out        = 0 // bytes that the connecting process sends
	Back       = 1 // bytes that the connecting process receives
	directions = 2
)

// A link reads at most chunkSize bytes at once, and buffers at most chunksBuffered chunks for each direction of a connection: 1 MiB.
const (
	chunkSize      = 16 << 10
	chunksBuffered = 64
)

// Link is a TCP proxy from one process to another that injects faults. It is safe for concurrent use.
type Link struct {
	name    string // "from>to"
	from    string
	to      string
	rig     *Rig
	target  func() string // returns the current address of the destination, or "" if the destination has none
	listen  net.Listener
	running sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	faults  [directions]Fault
	changed chan struct{} // closed when the faults change
	// cutAfter holds the number of bytes of each direction that are still forwarded before a connection is reset. It is negative if no reset is
	// due.
	cutAfter [directions]int
	conns    map[*linkConn]bool
	closed   bool
}

// linkConn is one connection that a link forwards.
type linkConn struct {
	from     net.Conn
	hung     chan struct{} // closed when the connection hangs and no more bytes are forwarded in either direction
	hangOnce sync.Once
	ended    chan struct{}

	mu sync.Mutex // guards the field to, and the closing of ended
	to net.Conn
}

// Link returns a new link between two processes. For each new connection it calls target, which returns the address of the destination. The
// link's own address does not change.
func (r *Rig) Link(from, to string, target func() string) (*Link, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &Link{name: from + ">" + to, from: from, to: to, rig: r, target: target, listen: listen, changed: make(chan struct{}), cutAfter: [directions]int{-1, -1},
		conns: map[*linkConn]bool{}, rng: rand.New(rand.NewPCG(r.seed, uint64(len(r.links))))}
	r.links[l.name] = l
	l.running.Go(l.accept)
	return l, nil
}

// Name returns the name of the link in the form "from>to".
func (l *Link) Name() string { return l.name }

// Address returns the address of the link. The first process connects to it in order to reach the second one.
func (l *Link) Address() string { return l.listen.Addr().String() }

func (l *Link) accept() {
	for {
		c, err := l.listen.Accept()
		if err != nil {
			return
		}
		l.running.Go(func() { l.serve(c) })
	}
}

// serve connects to the target and forwards bytes in both directions until the connection ends. While the link drops the direction Out,
// serve does not connect.
func (l *Link) serve(from net.Conn) {
	conn := &linkConn{from: from, hung: make(chan struct{}), ended: make(chan struct{})}
	if !l.register(conn) {
		conn.end(true)
		return
	}
	defer l.unregister(conn)
	if !l.waitWhileDropped(conn, Out) {
		return
	}
	to, err := net.Dial("tcp", l.target())
	if err != nil { // the connecting process sees a reset, because its own connect has succeeded already
		conn.end(true)
		return
	}
	if !conn.setDestination(to) {
		return
	}
	var forwarding sync.WaitGroup
	forwarding.Go(func() { l.forward(conn, from, to, Out) })
	forwarding.Go(func() { l.forward(conn, to, from, Back) })
	forwarding.Wait()
}

func (l *Link) register(conn *linkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[conn] = true
	}
	return !l.closed
}

func (l *Link) unregister(conn *linkConn) {
	conn.end(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// waitWhileDropped waits until the link no longer drops a direction. It returns false if the connection ends. If the connection hangs, it
// waits until the connection ends.
func (l *Link) waitWhileDropped(conn *linkConn, direction int) bool {
	for {
		l.mu.Lock()
		drop, changed := l.faults[direction].Drop, l.changed
		l.mu.Unlock()
		select {
		case <-conn.ended:
			return false
		case <-conn.hung:
			<-conn.ended
			return false
		default:
		}
		if !drop {
			return true
		}
		select {
		case <-changed:
		case <-conn.ended:
		case <-conn.hung:
		}
	}
}

// chunk is a piece of a byte stream that a link has read and not yet forwarded.
type chunk struct {
	b   []byte
	due time.Time // earliest time at which the chunk is forwarded
}

// forward forwards the bytes of one direction until the sender closes that direction or the connection ends.
func (l *Link) forward(conn *linkConn, from, to net.Conn, direction int) {
	chunks := make(chan chunk, chunksBuffered)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for lastDue := (time.Time{}); ; {
			b := make([]byte, chunkSize)
			n, err := from.Read(b)
			if n > 0 {
				if due := time.Now().Add(l.drawDelay(direction)); due.After(lastDue) {
					lastDue = due
				}
				select {
				case chunks <- chunk{b[:n], lastDue}:
				case <-conn.ended:
					return
				}
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				conn.end(true)
				return
			}
		}
	})
	defer reading.Wait()
	for next := range chunks {
		if wait := time.Until(next.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-conn.ended:
				return
			}
		}
		if !l.waitWhileDropped(conn, direction) {
			return
		}
		allowed, cut := l.bytesBeforeCut(direction, len(next.b))
		if _, err := to.Write(next.b[:allowed]); err != nil {
			conn.end(true)
			return
		}
		if cut {
			l.rig.recordAction(l.name, 0, "cut in a message", map[string]int{"way": direction})
			conn.end(true)
			return
		}
	}
	if !l.waitWhileDropped(conn, direction) { // the end of the stream is held back like bytes
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the connection is closed already
	}
}

// drawDelay returns the delay of a chunk in a direction. The delay includes random jitter.
func (l *Link) drawDelay(direction int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[direction]
	if f.Jitter > 0 {
		return f.Delay + time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	return f.Delay
}

// bytesBeforeCut returns the number of bytes to forward of a chunk of n bytes. It also reports whether the connection is to be reset after
// them.
func (l *Link) bytesBeforeCut(direction, n int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := l.cutAfter[direction]
	switch {
	case remaining < 0:
		return n, false
	case remaining < n:
		l.cutAfter[direction] = -1
		return remaining, true
	}
	l.cutAfter[direction] -= n
	return n, false
}

// end closes the connection on both sides, with a TCP reset if abrupt is set.
func (conn *linkConn) end(abrupt bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	select {
	case <-conn.ended:
		return
	default:
	}
	close(conn.ended)
	for _, c := range []net.Conn{conn.from, conn.to} {
		if t, ok := c.(*net.TCPConn); ok && abrupt {
			_ = t.SetLinger(0) // fails if the connection is closed already
		}
		if c != nil {
			c.Close()
		}
	}
}

// setDestination stores the connection to the target. If the linkConn has ended already, setDestination closes that connection and returns
// false.
func (conn *linkConn) setDestination(to net.Conn) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	select {
	case <-conn.ended:
		to.Close()
		return false
	default:
	}
	conn.to = to
	return true
}

// Set sets the faults of both directions. They last until the next Heal or Set.
func (l *Link) Set(out, back Fault) {
	l.mu.Lock()
	l.faults = [directions]Fault{out, back}
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.rig.recordAction(l.name, 0, "set", map[string]Fault{"out": out, "back": back})
}

// Heal ends the faults of Set and Cut. Hung connections remain hung.
func (l *Link) Heal() {
	l.mu.Lock()
	l.cutAfter = [directions]int{-1, -1}
	l.mu.Unlock()
	l.Set(Fault{}, Fault{})
}

// Cut forwards the next n bytes of a direction, counted over all connections. The connection on which the following byte arrives is then
// reset, so that it may end in the middle of a message.
func (l *Link) Cut(direction, n int) {
	l.mu.Lock()
	l.cutAfter[direction] = n
	l.mu.Unlock()
	l.rig.recordAction(l.name, 0, "cut", map[string]int{"way": direction, "after": n})
}

// Hang stops forwarding in both directions on all open connections without closing them, as if the other machine had lost its network.
// Connections that are opened later are not affected.
func (l *Link) Hang() {
	n := l.forEachConn(func(conn *linkConn) { conn.hangOnce.Do(func() { close(conn.hung) }) })
	l.rig.recordAction(l.name, 0, "hang", map[string]int{"connections": n})
}

// Reset resets all open connections.
func (l *Link) Reset() {
	n := l.forEachConn(func(conn *linkConn) { conn.end(true) })
	l.rig.recordAction(l.name, 0, "reset", map[string]int{"connections": n})
}

func (l *Link) forEachConn(do func(*linkConn)) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		do(conn)
	}
	return len(l.conns)
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listen.Close()
	l.forEachConn(func(conn *linkConn) { conn.end(true) })
	l.running.Wait()
}
