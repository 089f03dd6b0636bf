package idempotency

import (
	"slices"
	"strings"
	"time"
)

// SharedRecord is a record in a store that several processes have. Its sends' times are those of the writer's wall clock, since 1970;
// At means nothing there.
type SharedRecord struct {
	Record
	Owner string // the session of the process that wrote it last: while it lives, what is Running does
	Claim string // names the claim that it was written under; it begins with ClaimName's process
}

// ClaimName names a process's nth claim. The process's name is the store's to give, so that none is used twice.
func ClaimName(process, n string) string { return process + "/" + n }

// SharedRequest is a request that this process would run, and has to claim in the store first.
type SharedRequest struct {
	ID              ID
	Fingerprint     Fingerprint
	Process         string
	EarlierAttempts []Attempt     // its sends that are known here: Sent is how long ago each was
	DedupWindow     time.Duration // for which the nodes drop repeats
	MaxClockSkew    time.Duration // by which wall clocks of processes may differ, with what a message takes; 0: they are not trusted
}

// Resolve decides on a request whose key has a record already; lives tells of its owner's session, wall is the time since 1970. Run says
// that the request may be claimed in place of that very record, with the Prior sends, whose Sent is how long ago each was at most.
//
// What another process runs is waited for. If its session has ended it may have run, and where is not known, so it is never sent
// again. What ended uncertain elsewhere may be sent again only where its age can be told: two processes have no clock in common, and so
// none is sent unless Skew bounds how far theirs are apart.
func (m *SharedRequest) Resolve(r *SharedRecord, lives bool, wall time.Duration) Decision {
	mine := strings.HasPrefix(r.Claim, m.Process+"/")
	switch {
	case r.ID != m.ID || r.Fingerprint != m.Fingerprint:
		return Decision{Verdict: Conflict}
	case r.Running && !mine && lives:
		return Decision{Verdict: Wait}
	case !r.Running && r.Outcome == Answered && r.Answer == nil:
		return Decision{Verdict: AnswerNotStored}
	case !r.Running && r.Outcome == Answered:
		return Decision{Verdict: Replay, Answer: r.Answer}
	case mine && m.knows(r.Attempts): // nobody had it after this process
		return Decision{Verdict: Execute, EarlierAttempts: m.EarlierAttempts}
	case r.Running || r.AttemptsUnknown || m.MaxClockSkew <= 0 || len(r.Attempts) == 0:
		return Decision{Verdict: Fail}
	}
	prior := make([]Attempt, len(r.Attempts))
	for i, x := range r.Attempts {
		x.SentAt = max(0, wall-x.SentAt) + m.MaxClockSkew
		if x.SentAt >= m.DedupWindow {
			return Decision{Verdict: Fail}
		}
		prior[i] = x
	}
	return Decision{Verdict: Execute, EarlierAttempts: prior}
}

// AdoptAttempts gives a running request the prior sends of another process, in place of those known: that one knew them too.
func (s *Store) AdoptAttempts(id ID, sends []Attempt) {
	e := s.entries[id]
	if e == nil || e.state != running {
		return
	}
	s.grow(e, (len(sends)-len(e.sends))*perSend)
	e.sends = append([]Attempt(nil), sends...)
}

// knows tells whether all sends of a record are known here.
func (m *SharedRequest) knows(sends []Attempt) bool {
	for _, x := range sends {
		if !slices.ContainsFunc(m.EarlierAttempts, func(own Attempt) bool { return own.Zone == x.Zone && own.Cell == x.Cell }) {
			return false
		}
	}
	return len(m.EarlierAttempts) > 0 && len(sends) <= len(m.EarlierAttempts)
}
