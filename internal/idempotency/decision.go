package idempotency

import "time"

// ID identifies an idempotency key within its scope.
type ID struct{ Tenant, Class, Key string }

// maxIDBytes is the largest accepted length of an ID's three texts together, in bytes.
const maxIDBytes = 1024

// bytes returns the length of the ID's three texts together.
func (id ID) bytes() int { return len(id.Tenant) + len(id.Class) + len(id.Key) }

// Fingerprint tells the requests of one key apart: the first bytes of a cryptographic hash of method, path and body.
type Fingerprint [16]byte

// Attempt is a send that may have been executed, with the group of upstreams that deduplicates it.
type Attempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // on the Store's clock, unless the type that holds the attempt says otherwise
}

// Answer is a stored answer. It must not be modified.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Estimated memory that an answer's header takes beside its texts, in bytes.
const (
	headerNameOverheadBytes  = 64 // per name: its map slot and its slice
	headerValueOverheadBytes = 16 // per value: its string header
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

// Verdict is what becomes of an arriving request.
type Verdict int

// The verdicts.
const (
	Execute         Verdict = iota // execute it, deduplicated against EarlierAttempts; Store.Finish must follow
	Wait                           // wait for the running request of the key; Store.StopWaiting follows if the client leaves first
	Replay                         // return the stored Answer
	Conflict                       // the key belongs to another request
	Reject                         // not executed; a retry after RetryAfter is harmless
	Fail                           // an earlier attempt may have been executed, and it is too late for another one
	AnswerNotStored                // an earlier request was answered, but its answer was too large to be stored
)

// Decision is a verdict with the values that belong to it.
type Decision struct {
	Verdict         Verdict
	Answer          *Answer       // of Replay
	EarlierAttempts []Attempt     // of Execute
	RetryAfter      time.Duration // of Reject
}

// Outcome is how an executed request ended. Its numbers are stored in records.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota
	NotExecuted         // proved: the key becomes unknown again, unless an earlier attempt may have been executed
	MayHaveRun          // it may have been executed
)
