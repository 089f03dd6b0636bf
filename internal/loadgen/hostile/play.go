package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Target is the process that is played against.
type Target struct {
	Address string // where its clients connect
	PID     int
}

// Result says what a Shape cost the process and its usual clients.
type Result struct {
	Shape      string
	PrivateMB  float64 // largest private memory of the process, in MiB
	ResidentMB float64 // largest resident memory of the process with its program's file, in MiB
	Ended      bool    // the process has ended
	Sent       int     // requests of the usual clients
	Served     int     // of these: answered 200
	Rejected   int     // of these: answered otherwise
	Lost       int     // of these: not answered in time, or not at all
	CutOff     int     // of the lost ones: their connection ended without an answer
	P50, P99   time.Duration
}

// String implements fmt.Stringer.
func (r Result) String() string {
	return fmt.Sprintf("%-26s %6.1f MiB, %6.1f resident, %4d of %4d served, %3d rejected, %3d lost (%d cut off), p50 %8v, p99 %8v", r.Shape, r.PrivateMB,
		r.ResidentMB, r.Served, r.Sent, r.Rejected, r.Lost, r.CutOff, r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond))
}

// The usual clients.
const (
	usualClients = 8
	usualSlack   = 550 * time.Millisecond // after its time, an answer is late and not lost
	rampTime     = 2 * time.Second        // in which the hostile clients come
	memoryPause  = 20 * time.Millisecond  // between two looks at the process's memory
)

// Play plays a shape for a duration.
func Play(ctx context.Context, target Target, shape Shape, duration time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var playing sync.WaitGroup
	for i := range shape.Clients {
		playing.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(rampTime * time.Duration(i) / time.Duration(shape.Clients)):
				shape.run(ctx, target.Address, i)
			}
		})
	}
	usual := &usualTraffic{address: target.Address, load: shape.usual}
	for i := range usualClients {
		playing.Go(func() { usual.run(ctx, i) })
	}
	result := Result{Shape: shape.Name}
	for ctx.Err() == nil {
		memory, err := ReadMemory(target.PID)
		if err != nil {
			result.Ended = true
			cancel()
		}
		result.PrivateMB = max(result.PrivateMB, memory.PrivateMB)
		result.ResidentMB = max(result.ResidentMB, memory.ResidentMB)
		select {
		case <-ctx.Done():
		case <-time.After(memoryPause):
		}
	}
	playing.Wait()
	usual.report(&result)
	return result
}

// Memory is the memory of a process, in MiB.
type Memory struct {
	PrivateMB  float64 // what the process alone has written and holds
	ResidentMB float64 // with the pages of its program's file
}

// kBPerMB is the number of kB in a MiB, as the system counts them.
const kBPerMB = 1024

// ReadMemory returns the memory of a process.
func ReadMemory(pid int) (m Memory, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		var kB float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kB); n == 1 {
			m.PrivateMB = kB / kBPerMB
		}
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kB); n == 1 {
			m.ResidentMB = kB / kBPerMB
		}
	}
	if m.PrivateMB == 0 {
		return m, errors.New("the process has no memory of its own: it has ended")
	}
	return m, nil
}

// usualTraffic is the traffic of the usual clients. Each sends one request at a time on a connection that it keeps.
type usualTraffic struct {
	address string
	load    usualLoad

	mu                     sync.Mutex
	latencies              []time.Duration
	rejected, late, cutOff int
}

func (u *usualTraffic) run(ctx context.Context, index int) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(u.load.pause):
		}
		started := time.Now()
		var status int
		var err error
		conn, status, err = u.send(conn, fmt.Sprintf("u%03x%012x", index, n))
		u.mu.Lock()
		switch {
		case status == http.StatusOK:
			u.latencies = append(u.latencies, time.Since(started))
		case status != 0:
			u.rejected++
		case errors.Is(err, os.ErrDeadlineExceeded):
			u.late++
		default:
			u.cutOff++
		}
		u.mu.Unlock()
	}
}

// send sends one request, once more on a new connection if a kept one ends unread. It returns the connection if it can be used again, and
// status 0 and an error if there was no answer in time.
func (u *usualTraffic) send(conn net.Conn, id string) (_ net.Conn, status int, err error) {
	for attempt := range 2 {
		isNew := conn == nil
		if isNew {
			if conn, err = net.DialTimeout("tcp", u.address, u.load.timeout+usualSlack); err != nil {
				return nil, 0, err
			}
		}
		var keep bool
		status, keep, err = u.exchange(conn, id)
		if err == nil && keep {
			return conn, status, nil
		}
		conn.Close()
		conn = nil
		if err == nil {
			return nil, status, nil
		}
		if isNew || attempt > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, 0, err
		}
	}
	return nil, 0, err
}

// exchange sends one request and reads its answer.
func (u *usualTraffic) exchange(conn net.Conn, id string) (status int, keep bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(u.load.timeout + usualSlack))
	_, err = fmt.Fprintf(conn, "GET /search/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n\r\n", id, id, u.load.timeout.Milliseconds())
	if err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, !response.Close, nil
}

// report writes the traffic's figures to a result.
func (u *usualTraffic) report(r *Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	slices.Sort(u.latencies)
	r.Served, r.Rejected, r.CutOff, r.Lost = len(u.latencies), u.rejected, u.cutOff, u.late+u.cutOff
	r.Sent = r.Served + r.Rejected + r.Lost
	if r.Served > 0 {
		r.P50 = u.latencies[r.Served/2]
		r.P99 = u.latencies[r.Served*99/100]
	}
}
