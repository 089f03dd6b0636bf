package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	pipeliningClientCount = 20                      // number of clients of a PipeliningLeave
	minPipeliningStay     = 50 * time.Millisecond   // shortest time until one of them leaves
	pipeliningDeadline    = 1400 * time.Millisecond // that they announce
	// unjudgedDeadline is recorded in its place: a sidecar counts the time of a request from when it reads it, and a client from when it sent it,
	// and both are right for different rules.
	unjudgedDeadline = time.Minute
)

// pipeliningClients plays the clients of a step.
func (f *fleet) pipeliningClients(s *sidecar, step Step) {
	for n := range pipeliningClientCount {
		stay := minPipeliningStay + (step.For-minPipeliningStay)*time.Duration(n)/pipeliningClientCount
		f.runningSteps.Go(func() { f.sendAndLeave(s, step.Count+1, stay, n%2 == 0) })
	}
}

// sendAndLeave sends many requests on one connection, reads the answers that come if reads is true, and closes the connection.
func (f *fleet) sendAndLeave(s *sidecar, count int, stay time.Duration, reads bool) {
	requests, text := f.pipelinedRequests(s, count)
	conn, err := net.DialTimeout("tcp", s.address, clientTimeoutMargin)
	if err != nil {
		return
	}
	sentAt := f.record.now()
	go io.Copy(conn, bytes.NewReader(text)) // ends with the connection
	if reads {
		go io.Copy(io.Discard, conn)
	}
	time.Sleep(stay)
	conn.Close()
	disconnectedAt := f.record.now()
	for i := range requests {
		requests[i].SentAt, requests[i].DisconnectedAt, requests[i].Ended = sentAt, disconnectedAt, disconnectedAt
	}
	f.record.do(func(r *Record) { r.Requests = append(r.Requests, requests...) })
}

// pipelinedRequests returns requests of all effects, and their bytes.
func (f *fleet) pipelinedRequests(s *sidecar, count int) (made []Request, text []byte) {
	var out bytes.Buffer
	for n := range count {
		q := Request{ID: RequestID(fmt.Sprintf("%016x", requests.Add(1))), Sidecar: s.number, Deadline: pipeliningDeadline,
			Effect: []Effect{Safe, Unsafe, Keyed}[n%3]}
		request, err := newRequest(context.Background(), s.address, q)
		if err != nil {
			panic(err) // unreachable, because all parts of the URL are valid
		}
		_ = request.Write(&out) // a buffer takes everything
		q.Deadline = unjudgedDeadline
		made = append(made, q)
	}
	return made, out.Bytes()
}
