package processes

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is a fault of a link in one direction. The zero Fault forwards bytes at once.
type Fault struct {
	Drop   bool          `json:"drop,omitempty"`   // hold all bytes until the fault ends, as if TCP retransmitted them then
	Delay  time.Duration `json:"delay,omitempty"`  // added to each piece; the order stays
	Jitter time.Duration `json:"jitter,omitempty"` // random addition of up to this
}

// The directions of a link.
const (
	Out  = 0 // from the side that connects
	Back = 1 // to the side that connects
	ways = 2
)

// pieceSize bounds what is carried at once, and piecesHeld the pieces that one connection holds one way: 1 MiB.
const (
	pieceSize  = 16 << 10
	piecesHeld = 64
)

// Link is a TCP proxy from one process to another that injects faults. It is safe for concurrent use.
type Link struct {
	name   string // from>to
	from   string
	to     string
	rig    *Rig
	target func() string // current address of the other side; "": none
	listen net.Listener
	done   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	faults  [ways]Fault
	changed chan struct{} // closed as faults change
	cut     [ways]int     // bytes until the connection that carries them is cut in the middle of what it carries; below 0: never
	conns   map[*carried]bool
	closed  bool
}

// carried is one connection.
type carried struct {
	from net.Conn
	hung chan struct{} // closed: no more bytes go in either direction
	hang sync.Once
	over chan struct{}

	mu sync.Mutex // of to, and of the closing of over
	to net.Conn
}

// Link returns a new link from a process to the address that target returns at each connection. Its own address does not change.
func (r *Rig) Link(from, to string, target func() string) (*Link, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &Link{name: from + ">" + to, from: from, to: to, rig: r, target: target, listen: listen, changed: make(chan struct{}), cut: [ways]int{-1, -1},
		conns: map[*carried]bool{}, rng: rand.New(rand.NewPCG(r.seed, uint64(len(r.links))))}
	r.links[l.name] = l
	l.done.Go(l.accept)
	return l, nil
}

// Name is "from>to".
func (l *Link) Name() string { return l.name }

// Address is where the process at its beginning connects.
func (l *Link) Address() string { return l.listen.Addr().String() }

func (l *Link) accept() {
	for {
		c, err := l.listen.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.carry(c) })
	}
}

// carry connects to the target and forwards in both directions until either side ends. It does not connect while the direction out is dropped.
func (l *Link) carry(from net.Conn) {
	x := &carried{from: from, hung: make(chan struct{}), over: make(chan struct{})}
	if !l.admit(x) {
		x.end(true)
		return
	}
	defer l.release(x)
	if !l.clear(x, Out) {
		return
	}
	to, err := net.Dial("tcp", l.target())
	if err != nil { // refused there is refused here
		x.end(true)
		return
	}
	if !x.connected(to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pass(x, from, to, Out) })
	both.Go(func() { l.pass(x, to, from, Back) })
	both.Wait()
}

func (l *Link) admit(x *carried) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[x] = true
	}
	return !l.closed
}

func (l *Link) release(x *carried) {
	x.end(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, x)
}

// clear waits until a direction is not dropped; false: the connection has ended.
func (l *Link) clear(x *carried, way int) bool {
	for {
		l.mu.Lock()
		drop, changed := l.faults[way].Drop, l.changed
		l.mu.Unlock()
		select {
		case <-x.over:
			return false
		case <-x.hung:
			<-x.over
			return false
		default:
		}
		if !drop {
			return true
		}
		select {
		case <-changed:
		case <-x.over:
		case <-x.hung:
		}
	}
}

type piece struct {
	b   []byte
	due time.Time
}

// pass forwards one direction until its end or that of the connection.
func (l *Link) pass(x *carried, from, to net.Conn, way int) {
	pieces := make(chan piece, piecesHeld)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(pieces)
		for last := (time.Time{}); ; {
			b := make([]byte, pieceSize)
			n, err := from.Read(b)
			if n > 0 {
				if due := time.Now().Add(l.lag(way)); due.After(last) {
					last = due
				}
				select {
				case pieces <- piece{b[:n], last}:
				case <-x.over:
					return
				}
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				x.end(true)
				return
			}
		}
	})
	defer reading.Wait()
	for p := range pieces {
		if wait := time.Until(p.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-x.over:
				return
			}
		}
		if !l.clear(x, way) {
			return
		}
		most, cut := l.most(way, len(p.b))
		if _, err := to.Write(p.b[:most]); err != nil {
			x.end(true)
			return
		}
		if cut {
			l.rig.did(l.name, 0, "cut in a message", map[string]int{"way": way})
			x.end(true)
			return
		}
	}
	if !l.clear(x, way) { // the end is held back too
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite() // it may be closed
	}
}

func (l *Link) lag(way int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[way]
	if f.Jitter > 0 {
		return f.Delay + time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	return f.Delay
}

// most returns the number of bytes of a piece to forward, and whether the connection is cut after them.
func (l *Link) most(way, n int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.cut[way]
	switch {
	case left < 0:
		return n, false
	case left < n:
		l.cut[way] = -1
		return left, true
	}
	l.cut[way] -= n
	return n, false
}

// end closes the connection on both sides; with a reset if abrupt.
func (x *carried) end(abrupt bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.over:
		return
	default:
	}
	close(x.over)
	for _, c := range []net.Conn{x.from, x.to} {
		if t, ok := c.(*net.TCPConn); ok && abrupt {
			_ = t.SetLinger(0) // it may be closed
		}
		if c != nil {
			c.Close()
		}
	}
}

// connected sets the other side; false: the connection has ended already.
func (x *carried) connected(to net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.over:
		to.Close()
		return false
	default:
	}
	x.to = to
	return true
}

// Set sets the faults of both directions, until Heal or another Set.
func (l *Link) Set(out, back Fault) {
	l.mu.Lock()
	l.faults = [ways]Fault{out, back}
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.rig.did(l.name, 0, "set", map[string]Fault{"out": out, "back": back})
}

// Heal ends the faults of Set and Cut. Connections that hang stay so.
func (l *Link) Heal() {
	l.mu.Lock()
	l.cut = [ways]int{-1, -1}
	l.mu.Unlock()
	l.Set(Fault{}, Fault{})
}

// Cut resets the connection that would carry the byte after the next n of a direction, in the middle of a message.
func (l *Link) Cut(way, n int) {
	l.mu.Lock()
	l.cut[way] = n
	l.mu.Unlock()
	l.rig.did(l.name, 0, "cut", map[string]int{"way": way, "after": n})
}

// Hang stops all open connections in both directions for ever, as if the other side had vanished. Later connections are not affected.
func (l *Link) Hang() {
	n := l.each(func(x *carried) { x.hang.Do(func() { close(x.hung) }) })
	l.rig.did(l.name, 0, "hang", map[string]int{"connections": n})
}

// Reset resets all open connections.
func (l *Link) Reset() {
	n := l.each(func(x *carried) { x.end(true) })
	l.rig.did(l.name, 0, "reset", map[string]int{"connections": n})
}

func (l *Link) each(do func(*carried)) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for x := range l.conns {
		do(x)
	}
	return len(l.conns)
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listen.Close()
	l.each(func(x *carried) { x.end(true) })
	l.done.Wait()
}
