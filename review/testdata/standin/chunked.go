package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	chunkedPieces   = 8                      // of an answer
	chunkedPiece    = 16 << 10               // bytes of a piece
	chunkedPause    = 250 * time.Millisecond // between two pieces: 64 kB a second
	chunkedTime     = 900 * time.Millisecond // X-Timeout: 60% of the class's deadline
	chunkedRequests = 40
	chunkedEvery    = 200 * time.Millisecond
)

// cutAnswers checks that an answer over 64 KiB, whose first bytes come in time, is passed on, while nodes send their answers in small pieces
// and without a length.
func cutAnswers(p *play) (breaks []string, err error) {
	var list []endpoint
	for i := range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("node-%02d", i+1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-ID")
			p.note("node %s runs %s", name, id)
			pieces := http.NewResponseController(w)
			for n := range chunkedPieces {
				if _, err := w.Write(make([]byte, chunkedPiece)); err != nil || pieces.Flush() != nil {
					p.note("node %s can't go on with %s after %d pieces: the connection ended", name, id, n)
					return
				}
				if p.trouble {
					time.Sleep(chunkedPause)
				}
			}
		})}
		go func() { _ = server.Serve(listener) }()
		list = append(list, entry(name, listener.Addr().String(), "thika-road"))
	}
	d, err := p.startDiscovery(list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	search := theSite().Search
	environment, err := p.platformFile("n1", address, "", d, "thika-road", 4, []class{search}, smallLimits)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("sidecar", address, environment...)
	if err != nil {
		return nil, err
	}
	defer s.kill()
	var sending sync.WaitGroup
	var mu sync.Mutex
	for i := range chunkedRequests {
		id := fmt.Sprintf("%016x", 0x65000000+i)
		sending.Go(func() {
			request, err := http.NewRequestWithContext(p, http.MethodGet, "http://"+address+"/"+search.Name+"/"+id, nil)
			if err != nil {
				return
			}
			request.Header.Set("X-Request-ID", id)
			request.Header.Set("X-Priority-Class", search.Name)
			request.Header.Set("X-Timeout", fmt.Sprintf("%dm", chunkedTime.Milliseconds()))
			started := time.Now()
			status, bytes := 0, int64(0)
			if response, err := http.DefaultClient.Do(request); err == nil {
				status = response.StatusCode
				bytes, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			p.note("client got %d with %d bytes for %s after %v", status, bytes, id, time.Since(started).Round(time.Millisecond))
			if status != http.StatusOK || bytes != chunkedPieces*chunkedPiece {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, fmt.Sprintf("%s %s got %d with %d bytes", search.Name, id, status, bytes))
			}
		})
		if err := p.pause(chunkedEvery); err != nil {
			return nil, err
		}
	}
	sending.Wait()
	return breaks, nil
}
