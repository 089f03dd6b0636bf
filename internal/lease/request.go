package lease

import "time"

// Token is a fencing token: the number of a grant. A later grant has a higher token, of the same name and of all names of a Table. 0 is none.
type Token uint64

// RequestKind says what a Request asks for.
type RequestKind uint8

// The kinds of requests. Their numbers are stored in the raft log.
const (
	Acquire      RequestKind = iota + 1 // acquire the lease or wait for it; repeated, it keeps the lease or the wait alive
	Renew                               // extend the grant of Token by another Duration
	Release                             // give the lease back: the holder's work has ended
	Transfer                            // as Release, and To is the next holder
	Revoke                              // sent for an operator: the holder's grant is not renewed any more
	Expire                              // proposed by the leader: the grant of Token has expired
	RemoveWaiter                        // proposed by the leader or sent by the waiter: Client waits no longer
	WriteNote                           // keep Value with the name, beyond the grant; for the holder of Token alone
	ReadNote                            // read the note that is kept with the name; for the holder of Token alone
)

// Request is a request to the record of leases. Acquire, Renew and Release may arrive late, twice or never.
type Request struct {
	Kind       RequestKind   `json:"Kind"`
	Name       string        `json:"Name"`   // of the lease
	Client     string        `json:"Client"` // names one incarnation of one process and is never used again
	Sequence   uint64        `json:"Seq"`    // of the acquisition: it rises each time that the client wants the lease anew
	SendNumber uint64        `json:"Nr"`     // of the message: it rises with each send, also of the same acquisition
	Token      Token         `json:"Token"`  // the grant that is meant
	Duration   time.Duration `json:"Term"`   // Acquire: the requested lease duration
	Wait       bool          `json:"Wait"`   // Acquire: join the waiter queue if the lease is held
	To         string        `json:"To"`     // Transfer: the client that is to hold the lease next
	Value      string        `json:"Value"`  // WriteNote: at most MaxNoteBytes; empty removes the note
}

// Status is the outcome of a Request.
type Status uint8

// The outcomes. Their numbers are sent between releases.
const (
	Granted     Status = iota + 1 // the client holds Token for Duration, counted from when it sent the request
	Waiting                       // the client is in the waiter queue, at Position
	HeldByOther                   // another client holds the lease, and the request does not wait
	TableFull                     // a limit of the Table is reached
	NotHeld                       // the grant or the acquisition that the request is about exists no longer
	Done                          // Release, Transfer, Revoke, Expire, RemoveWaiter, WriteNote or ReadNote succeeded
)

// Reply answers a Request. Client, Name, Sequence and SendNumber are those of the request.
type Reply struct {
	Status     Status        `json:"Verdict"`
	Client     string        `json:"Client"`
	Name       string        `json:"Name"`
	Sequence   uint64        `json:"Seq"`
	SendNumber uint64        `json:"Nr"`
	Token      Token         `json:"Token"`
	Duration   time.Duration `json:"Term"`
	Position   int           `json:"Place"`  // Waiting: from 1
	Holder     string        `json:"Holder"` // who holds the lease, where that is known
	Value      string        `json:"Value"`  // WriteNote, ReadNote: the note that is kept
}

// Reply returns a reply to the request with a status and nothing else.
func (r *Request) Reply(status Status) Reply {
	return Reply{Status: status, Client: r.Client, Name: r.Name, Sequence: r.Sequence, SendNumber: r.SendNumber}
}
