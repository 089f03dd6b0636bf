package idempotency

import (
	"slices"
	"strings"
	"time"
)

// SharedRecord is a Record in a store that several processes share. The SentAt times of its attempts are durations since the Unix epoch on
// the wall clock of the process that wrote the record. UpdatedAt is not used.
type SharedRecord struct {
	Record
	Owner string // session of the process that wrote the record last; a Running request runs only while that session lives
	Claim string // name of the claim under which the record was written; see ClaimName
}

// ClaimName returns the name of a process's nth claim. The shared store assigns each process a name that no other process ever gets.
func ClaimName(process, n string) string { return process + "/" + n }

// SharedRequest is a request that this process must claim in the shared store before it may execute the request.
type SharedRequest struct {
	ID              ID
	Fingerprint     Fingerprint
	Process         string
	EarlierAttempts []Attempt     // the attempts known to this process, with their ages as SentAt
	DedupWindow     time.Duration // how long upstreams drop repeated attempts
	MaxClockSkew    time.Duration // upper bound on the difference between two wall clocks plus a message's delay; 0 if unknown
}

// Resolve decides on a request whose key already has a record. ownerAlive reports whether the session of the record's owner lives, and wall
// is the wall-clock time since the Unix epoch. Execute means that the request may replace exactly this record with its own claim. SentAt of
// each attempt in EarlierAttempts is then an upper bound on the attempt's age.
//
// Resolve returns Wait for a request that another process runs. If that process's session has ended, an upstream may have executed the
// request, which is therefore never executed again. A request of uncertain outcome is executed again only if the ages of its attempts are
// known. The process that sent all of the attempts knows their ages; another process knows them if MaxClockSkew bounds the difference
// between the clocks.
func (r *SharedRequest) Resolve(record *SharedRecord, ownerAlive bool, wall time.Duration) Decision {
	own := strings.HasPrefix(record.Claim, ClaimName(r.Process, ""))
	finished := !record.Running && record.Outcome == Answered
	switch {
	case record.ID != r.ID || record.Fingerprint != r.Fingerprint:
		return Decision{Verdict: Conflict}
	case record.Running && !own && ownerAlive:
		return Decision{Verdict: Wait}
	case finished && record.Answer == nil:
		return Decision{Verdict: AnswerNotStored}
	case finished:
		return Decision{Verdict: Replay, Answer: record.Answer}
	case own && r.knowsAll(record.Attempts): // no other process has claimed the key in the meantime
		return Decision{Verdict: Execute, EarlierAttempts: r.EarlierAttempts}
	case record.Running || record.AttemptsUnknown || r.MaxClockSkew <= 0 || len(record.Attempts) == 0:
		return Decision{Verdict: Fail}
	}
	return r.resolveByWallClock(record.Attempts, wall)
}

// resolveByWallClock decides on a request whose attempts were sent by other processes, from the attempts' wall-clock times. A time in the
// future counts as the present time. Each age is increased by MaxClockSkew, so that it is an upper bound.
func (r *SharedRequest) resolveByWallClock(attempts []Attempt, wall time.Duration) Decision {
	aged := make([]Attempt, len(attempts))
	for i, attempt := range attempts {
		attempt.SentAt = max(0, wall-attempt.SentAt) + r.MaxClockSkew
		if attempt.SentAt >= r.DedupWindow {
			return Decision{Verdict: Fail}
		}
		aged[i] = attempt
	}
	return Decision{Verdict: Execute, EarlierAttempts: aged}
}

// knowsAll reports whether this process knows all attempts of a record. The attempts of the record and of the request have times on
// different clocks, so knowsAll compares the zones and cells of the attempts, and their number.
func (r *SharedRequest) knowsAll(attempts []Attempt) bool {
	for _, attempt := range attempts {
		known := slices.ContainsFunc(r.EarlierAttempts, func(own Attempt) bool {
			return own.Zone == attempt.Zone && own.Cell == attempt.Cell
		})
		if !known {
			return false
		}
	}
	return len(r.EarlierAttempts) > 0 && len(attempts) <= len(r.EarlierAttempts)
}
