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

// Kind says what an Ask wants.
type Kind uint8

const (
	Acquire Kind = iota + 1 // the lease, or a place in its queue; said again it keeps either alive
	Renew                   // another term for the Token
	Release                 // the holder has stopped acting
	HandOn                  // the same, and To is to have it next
	Revoke                  // an operator's word: the holder gets no other term
	Expire                  // the leader's word: the Token's term is over
	Drop                    // the leader's word: a waiter has not been heard of
	Note                    // Value is to be kept with the name, also when nobody holds it; only the holder of Token may
	Look                    // the same without a change: what is kept
)

// Ask is what the record is told. Acquire, Renew and Release may come late, twice or never.
type Ask struct {
	Kind   Kind          `json:"Kind"`
	Name   string        `json:"Name"`
	Client string        `json:"Client"` // one life of one process: never used again
	Seq    uint64        `json:"Seq"`    // of the client's wish: it rises with each time that it begins to want the lease
	Nr     uint64        `json:"Nr"`     // of the send
	Token  Token         `json:"Token"`  // which grant is meant
	Term   time.Duration `json:"Term"`   // Acquire: how long a term is to be
	Wait   bool          `json:"Wait"`   // Acquire: in the queue if it is held
	To     string        `json:"To"`     // HandOn: a client
	Value  string        `json:"Value"`  // Note: at most NoteBytes; "": nothing is kept any more
}

// Verdict is how an Ask ended.
type Verdict uint8

const (
	Granted Verdict = iota + 1 // it holds Token for Term, counted from the send of the ask
	Waiting                    // it stands in the queue, at Place
	Held                       // somebody else holds it, and the ask would not wait
	Full                       // no room for another name, or for another waiter
	Lost                       // what the ask is about is no longer so
	Done                       // of Release, HandOn, Revoke, Note and Look
)

// Reply is what an Ask comes to. Client, Name, Seq and Nr are the ask's.
type Reply struct {
	Verdict Verdict       `json:"Verdict"`
	Client  string        `json:"Client"`
	Name    string        `json:"Name"`
	Seq     uint64        `json:"Seq"`
	Nr      uint64        `json:"Nr"`
	Token   Token         `json:"Token"`
	Term    time.Duration `json:"Term"`
	Place   int           `json:"Place"`
	Holder  string        `json:"Holder"`
	Value   string        `json:"Value"` // of Note and Look: what is kept with the name
}

func (a *Ask) reply(v Verdict) Reply {
	return Reply{Verdict: v, Client: a.Client, Name: a.Name, Seq: a.Seq, Nr: a.Nr}
}
