package lease

import "time"

// Token is a fencing token: the number of a grant. Of any two grants of a Table, whatever their names, the later has the higher token. 0 means
// no token.
type Token uint64

// RequestKind is the kind of a Request.
type RequestKind uint8

// The kinds of requests. Their numbers are stored in the raft log.
const (
	Acquire      RequestKind = iota + 1 // acquire the lease or wait for it; a repeated Acquire keeps the grant or the wait alive
	Renew                               // extend the grant of Token by another Duration
	Release                             // release the lease: the holder's work has ended
	Transfer                            // like Release, but To is the next holder
	Revoke                              // sent for an operator: do not renew the holder's grant any more
	Expire                              // proposed by the leader: the grant of Token has expired
	RemoveWaiter                        // proposed by the leader or sent by the waiter: remove Client from the waiter queue
	WriteNote                           // store Value as the name's note, which outlives the grant; only the holder of Token may do so
	ReadNote                            // read the name's note; only the holder of Token may do so
)

// Request is a request to the record of leases, which is a Table that a raft group replicates. An Acquire, Renew or Release may arrive late, twice or
// never.
type Request struct {
	Kind       RequestKind   `json:"Kind"`
	Name       string        `json:"Name"`   // name of the lease
	Client     string        `json:"Client"` // identifies one incarnation of one process and is never reused
	Sequence   uint64        `json:"Seq"`    // number of the acquisition; it increases with each new acquisition of the client
	SendNumber uint64        `json:"Nr"`     // number of the message; it increases with each send, also within one acquisition
	Token      Token         `json:"Token"`  // the grant that the request is about
	Duration   time.Duration `json:"Term"`   // Acquire: the requested lease duration
	Wait       bool          `json:"Wait"`   // Acquire: join the waiter queue if the lease is held
	To         string        `json:"To"`     // Transfer: the client that is to hold the lease next
	Value      string        `json:"Value"`  // WriteNote: at most MaxNoteBytes; empty removes the note
}

// Status is the outcome of a Request.
type Status uint8

// The outcomes. Their numbers are sent between releases.
const (
	Granted     Status = iota + 1 // the client holds the lease under Token for Duration, counted from when it sent the request
	Waiting                       // the client is in the waiter queue, at Position
	HeldByOther                   // another client holds the lease, and the request does not ask to wait
	TableFull                     // a limit of the Table is reached
	NotHeld                       // the grant or acquisition that the request is about has ended, or is not to be renewed
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
	Position   int           `json:"Place"`  // Waiting: position in the waiter queue, from 1
	Holder     string        `json:"Holder"` // the client that holds the lease, if known
	Value      string        `json:"Value"`  // WriteNote, ReadNote: the stored note
}

// Reply returns a reply that has only the status and the fields that identify the request.
func (r *Request) Reply(status Status) Reply {
	return Reply{Status: status, Client: r.Client, Name: r.Name, Sequence: r.Sequence, SendNumber: r.SendNumber}
}
