package idempotency

import "time"

// ID identifies an idempotency key within its scope, a tenant and a class.
type ID struct{ Tenant, Class, Key string }

// maxIDBytes is the largest accepted length of an ID's three strings together, in bytes.
const maxIDBytes = 1024

// bytes returns the length of the ID's three strings together.
func (id ID) bytes() int { return len(id.Tenant) + len(id.Class) + len(id.Key) }

// Fingerprint distinguishes requests that use the same key. It is the first bytes of a cryptographic hash of method, path and body.
type Fingerprint [16]byte

// Attempt is a request sent to an upstream that may have executed it. Zone and Cell identify the upstreams that deduplicate it.
type Attempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // on the Store's clock, unless the type that holds the attempt says otherwise
}

// Answer is the answer to a request, stored for replay. It must not be modified.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Estimated memory that an answer's header takes in addition to its names and values, in bytes.
const (
	headerNameOverheadBytes  = 64 // map entry and slice of each name
	headerValueOverheadBytes = 16 // string header of each value
)

// bytes returns the estimated memory that the answer takes.
func (a *Answer) bytes() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name) + headerNameOverheadBytes
		for _, value := range values {
			size += len(value) + headerValueOverheadBytes
		}
	}
	return size
}

// Verdict says how an arriving request is handled.
type Verdict int

// The verdicts on an arriving request.
const (
	Execute         Verdict = iota // execute the request, deduplicated against EarlierAttempts; call Store.Finish when it ends
	Wait                           // wait for the running request of the key; call Store.StopWaiting if the client disconnects first
	Replay                         // return the stored Answer
	Conflict                       // the key was used for a different request
	Reject                         // do not execute the request; a retry after RetryAfter is safe
	Fail                           // do not execute the request: an earlier attempt may have been executed and may no longer be deduplicated
	AnswerNotStored                // an earlier request was answered, but its answer was too large to store
)

// Decision is a verdict with the values that belong to it.
type Decision struct {
	Verdict         Verdict
	Answer          *Answer       // set for Replay
	EarlierAttempts []Attempt     // set for Execute
	RetryAfter      time.Duration // set for Reject
}

// Outcome is how an executed request ended. Records store its numeric values.
type Outcome int

// The outcomes of an executed request.
const (
	Answered    Outcome = iota
	NotExecuted         // the request was certainly not executed; its key is forgotten unless an earlier attempt may have been executed
	MayHaveRun          // the request may have been executed
)
