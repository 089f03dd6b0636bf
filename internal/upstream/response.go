package upstream

import (
	"net/http"

	"orchiddrift/balancer"
)

// Response is the outcome of an attempt. The fields after Result, except BodyConsumed, are set only if Result is balancer.OK.
type Response struct {
	Result balancer.Result
	Status int
	Header http.Header
	Body   []byte
	// ReservedBytes is the number of bytes reserved from Options.AnswerBytes. The owner of the Response releases them with Pool.Free.
	ReservedBytes int64
	// Remainder is the part of the body that follows Body; its owner calls End. If it is nil, Body is complete.
	Remainder *Remainder
	// BodyConsumed reports that the request's body cannot be sent again.
	BodyConsumed bool
}

// Free releases the bytes that a Response has reserved.
func (p *Pool) Free(r Response) {
	if r.ReservedBytes > 0 {
		p.answerBytes.Release(p.service, r.ReservedBytes)
	}
}

// reserveBody reserves the bytes of a response's body: its length, or the maximum length if the length is unknown. It returns false
// if these bytes are not available.
func (p *Pool) reserveBody(message *http.Response) (reserved int64, ok bool) {
	length := message.ContentLength
	if length < 0 {
		length = int64(p.maxAnswerBytes)
	}
	return p.reserve(length)
}

// reserve reserves bytes of the budget that all services share, and reports whether they are available.
func (p *Pool) reserve(bytes int64) (reserved int64, ok bool) {
	if p.answerBytes == nil {
		return 0, true
	}
	if !p.answerBytes.TryAcquire(p.service, bytes) {
		return 0, false
	}
	return bytes, true
}
