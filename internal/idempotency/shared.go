package idempotency

import (
	"slices"
	"strings"
	"time"
)

// Shared is a record in a store that several processes have. Its sends' times are those of the writer's wall clock, since 1970;
// At means nothing there.
type Shared struct {
	Record
	Owner string // the session of the process that wrote it last: while it lives, what is Running does
	Claim string // names the claim that it was written under; it begins with ClaimOf's process
}

// ClaimOf names a process's nth claim. The process's name is the store's to give, so that none is used twice.
func ClaimOf(process, n string) string { return process + "/" + n }

// Meeting is a request that this process would run, and has to claim in the store first.
type Meeting struct {
	ID      ID
	Print   Print
	Process string
	Prior   []Send        // its sends that are known here: Sent is how long ago each was
	Window  time.Duration // for which the nodes drop repeats
	Skew    time.Duration // by which wall clocks of processes may differ, with what a message takes; 0: they are not trusted
}

// Meet decides on a request whose key has a record already; lives tells of its owner's session, wall is the time since 1970. Run says
// that the request may be claimed in place of that very record, with the Prior sends, whose Sent is how long ago each was at most.
//
// What another process runs is waited for. If its session has ended it may have run, and where is not known, so it is never sent
// again. What ended uncertain elsewhere may be sent again only where its age can be told: two processes have no clock in common, and so
// none is sent unless Skew bounds how far theirs are apart.
func (m *Meeting) Meet(r *Shared, lives bool, wall time.Duration) Decision {
	mine := strings.HasPrefix(r.Claim, m.Process+"/")
	switch {
	case r.ID != m.ID || r.Print != m.Print:
		return Decision{Verdict: Conflict}
	case r.Running && !mine && lives:
		return Decision{Verdict: Wait}
	case !r.Running && r.Kind == WasAnswered && r.Answer == nil:
		return Decision{Verdict: Answered}
	case !r.Running && r.Kind == WasAnswered:
		return Decision{Verdict: Replay, Answer: r.Answer}
	case mine && m.knows(r.Sends): // nobody had it after this process
		return Decision{Verdict: Run, Prior: m.Prior}
	case r.Running || r.Lost || m.Skew <= 0 || len(r.Sends) == 0:
		return Decision{Verdict: Fail}
	}
	prior := make([]Send, len(r.Sends))
	for i, x := range r.Sends {
		x.Sent = max(0, wall-x.Sent) + m.Skew
		if x.Sent >= m.Window {
			return Decision{Verdict: Fail}
		}
		prior[i] = x
	}
	return Decision{Verdict: Run, Prior: prior}
}

// Adopt gives a running request the prior sends of another process, in place of those known: that one knew them too.
func (s *Store) Adopt(id ID, sends []Send) {
	e := s.entries[id]
	if e == nil || e.state != running {
		return
	}
	s.grow(e, (len(sends)-len(e.sends))*perSend)
	e.sends = append([]Send(nil), sends...)
}

// knows tells whether all sends of a record are known here.
func (m *Meeting) knows(sends []Send) bool {
	for _, x := range sends {
		if !slices.ContainsFunc(m.Prior, func(own Send) bool { return own.Zone == x.Zone && own.Cell == x.Cell }) {
			return false
		}
	}
	return len(m.Prior) > 0 && len(sends) <= len(m.Prior)
}
