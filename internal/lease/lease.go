// Package lease decides who holds a named lease. It is free of I/O and clocks: time, asks and replies go in, replies and actions come out.
//
// There are two sides. The record is a Table, which every member of a group applies in one order, and Terms, which only the member that
// leads keeps: how long each holder's word is good by its own clock. A Holder is the other side: it asks, counts its term from before its
// ask was sent, and stops acting on its own word alone.
//
// Why two never act at once. A holder acts until sent + term x (1 - Drift) by its own clock, where sent is when the ask was sent that the
// record answered. The record gives the name to somebody else no sooner than applied + term x (1 + Drift) by the leader's, and applied comes
// after sent. So as long as each clock's rate is within Drift of true time, the one moment lies before the other. A new leader counts every
// term anew from when it leads, which comes after whatever its predecessor confirmed. What a holder does after it was stopped between its
// look at the clock and its act is no matter of clocks: for that each grant has a Token, which only rises, and sinks refuse lower ones.
package lease

import "time"

// Token numbers grants: of one name, and of all names of a record, a later grant has a higher one. 0 is none.
type Token uint64

// RequestKind says what an Ask wants.
type RequestKind uint8

const (
	Acquire      RequestKind = iota + 1 // the lease, or a place in its queue; said again it keeps either alive
	Renew                               // another term for the Token
	Release                             // the holder has stopped acting
	Transfer                            // the same, and To is to have it next
	Revoke                              // an operator's word: the holder gets no other term
	Expire                              // the leader's word: the Token's term is over
	RemoveWaiter                        // the leader's word: a waiter has not been heard of
	WriteNote                           // Value is to be kept with the name, also when nobody holds it; only the holder of Token may
	ReadNote                            // the same without a change: what is kept
)

// Request is what the record is told. Acquire, Renew and Release may come late, twice or never.
type Request struct {
	Kind       RequestKind   `json:"Kind"`
	Name       string        `json:"Name"`
	Client     string        `json:"Client"` // one life of one process: never used again
	Sequence   uint64        `json:"Seq"`    // of the client's wish: it rises with each time that it begins to want the lease
	SendNumber uint64        `json:"Nr"`     // of the send
	Token      Token         `json:"Token"`  // which grant is meant
	Duration   time.Duration `json:"Term"`   // Acquire: how long a term is to be
	Wait       bool          `json:"Wait"`   // Acquire: in the queue if it is held
	To         string        `json:"To"`     // Transfer: a client
	Value      string        `json:"Value"`  // Note: at most MaxNoteBytes; "": nothing is kept any more
}

// Status is how an Ask ended.
type Status uint8

const (
	Granted     Status = iota + 1 // it holds Token for Term, counted from the send of the ask
	Waiting                       // it stands in the queue, at Place
	HeldByOther                   // somebody else holds it, and the ask would not wait
	TableFull                     // no room for another name, or for another waiter
	NotHeld                       // what the ask is about is no longer so
	Done                          // of Release, Transfer, Revoke, Note and Look
)

// Reply is what an Ask comes to. Client, Name, Seq and Nr are the ask's.
type Reply struct {
	Status     Status        `json:"Verdict"`
	Client     string        `json:"Client"`
	Name       string        `json:"Name"`
	Sequence   uint64        `json:"Seq"`
	SendNumber uint64        `json:"Nr"`
	Token      Token         `json:"Token"`
	Duration   time.Duration `json:"Term"`
	Position   int           `json:"Place"`
	Holder     string        `json:"Holder"`
	Value      string        `json:"Value"` // of Note and Look: what is kept with the name
}

func (a *Request) reply(v Status) Reply {
	return Reply{Status: v, Client: a.Client, Name: a.Name, Sequence: a.Sequence, SendNumber: a.SendNumber}
}
