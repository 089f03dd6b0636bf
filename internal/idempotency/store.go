// Package idempotency decides what becomes of requests that bear an idempotency key: which one is sent, which waits for another that
// runs, which gets a kept answer, and which is turned down. It is a state machine: arrivals, sends and ends in, verdicts out;
// no I/O, no clock.
//
//	unseen --Arrive: Run--> running --End: Answered--> answered --Arrive--> Replay
//	   ^                       |  ^
//	   '--End: NotExecuted--------'  '--Arrive: Run, within the window-- uncertain --Arrive, later--> Fail
//	                           '---End: Uncertain-----------------------^
//
// A key is known by tenant, class and key; the same key with another request (method, path, body) is a conflict, as in the
// IETF's draft-ietf-httpapi-idempotency-key-header. Nothing that may still matter is forgotten: an entry stays for Options.Retention
// after its last event, and while there is no room new keys are refused.
//
// Time is that of the process's own running: it need not be the wall's, and stands still while the process is down, so that no
// jump of a clock makes a key old before its time.
package idempotency

import (
	"errors"
	"time"

	"orchiddrift/internal/priorityqueue"
	"orchiddrift/internal/units"
)

// Options are a Store's parameters, and its part of the operator's file.
type Options struct {
	Service        string         `toml:"service" doc:"Whose keyed requests: a service's name, or \"platform\" beside the platform's file."`
	Retention      units.Duration `toml:"keep" default:"10m" doc:"How long a key is known after its last event. A client must not send it again later."`
	MaxKeys        int            `toml:"entries" default:"100000" doc:"Keys known at once, at most. New ones are refused beyond."`
	MaxBytes       units.Size     `toml:"bytes" default:"16MiB" doc:"What keys and kept answers may take, at most. New ones are refused beyond."`
	TenantFraction float64        `toml:"tenant_part" default:"0.5" doc:"The part of both that one tenant's keys may take."`
	MaxAnswerBytes units.Size     `toml:"answer" default:"16KiB" doc:"An answer that is larger is not kept: its repeats are told that it was answered."`
	MaxRunning     int            `toml:"running" default:"256" doc:"Keyed requests that run at once, at most, whether or not their clients are still there."`
	File           string         `toml:"file" reload:"start" sample:"\"/var/lib/orchiddrift/payments.db\"" doc:"Where keys last longer than the process, on a disk that does: a keyed request is sent once its record is synced. Absent: a new process knows no keys."`
	DiskError      string         `toml:"disk_error" default:"refuse" oneof:"refuse|go on" doc:"What becomes of keyed requests while the file can't be written."`
	MaxWaiting     int            `toml:"waiting" default:"16" doc:"Repeats of one key that wait for its answer, at most."`
}

// Default is what holds where nothing is said.
func Default() Options {
	return Options{Retention: units.Duration(10 * time.Minute), MaxKeys: 100_000, MaxBytes: 16 * units.MiB, TenantFraction: 0.5, MaxAnswerBytes: 16 * units.KiB, MaxRunning: 256, MaxWaiting: 16, DiskError: "refuse"}
}

// Check is tomlfile.Checker's.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.Service == "" {
		report("service", "missing")
	}
	if o.Retention.D() < time.Second || o.Retention.D() > 30*24*time.Hour {
		report("keep", "%v is not from 1s to 720h", o.Retention)
	}
	for _, x := range []struct {
		key     string
		n, most int
	}{{"entries", o.MaxKeys, 1 << 24}, {"running", o.MaxRunning, 1 << 16}, {"waiting", o.MaxWaiting, 1 << 16}} {
		if x.n < 1 || x.n > x.most {
			report(x.key, "%d is not from 1 to %d", x.n, x.most)
		}
	}
	if o.MaxBytes < perEntry || o.MaxAnswerBytes < 0 {
		report("bytes", "%v holds no key", o.MaxBytes)
	}
	if !(o.TenantFraction > 0 && o.TenantFraction <= 1) {
		report("tenant_part", "%v is not a part, above 0", o.TenantFraction)
	}
}

// ID names a key within its scope.
type ID struct{ Tenant, Class, Key string }

func (id ID) bytes() int { return len(id.Tenant) + len(id.Class) + len(id.Key) }

// maxID bounds an ID's texts together.
const maxID = 1024

// Fingerprint tells requests apart: a cryptographic hash's first bytes of method, path and body.
type Fingerprint [16]byte

// Attempt is a send that may have run, and where its repeats are dropped.
type Attempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration
}

// Answer is a kept one. It is not changed.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Answer) bytes() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name) + 64
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

// Verdict is what becomes of an arrival.
type Verdict int

// The verdicts.
const (
	Execute         Verdict = iota // it is to be sent, with the Sends given as prior ones; End must follow
	Wait                           // another of its key runs: it gets that one's end, or calls Leave
	Replay                         // it gets the kept answer
	Conflict                       // the key stands for another request
	Reject                         // not run, trying again is harmless, after RetryAfter
	Fail                           // an earlier one may have run, and none may be sent any more
	AnswerNotStored                // an earlier one was answered, and the answer was too large to be kept
)

// Decision is a verdict with what belongs to it.
type Decision struct {
	Verdict         Verdict
	Answer          *Answer       // of Replay
	EarlierAttempts []Attempt     // of Run
	RetryAfter      time.Duration // of Refuse
}

// Outcome is how a request that ran ended.
type Outcome int

// The ends.
const (
	Answered    Outcome = iota
	NotExecuted         // proved: the key is as if it had not been seen, unless an earlier one may have run
	MayHaveRun          // it may have run
)

type state int8

const (
	running state = iota
	answered
	uncertain
)

type entry struct {
	id      ID
	print   Fingerprint
	state   state
	answer  *Answer   // nil: too large, or there is none
	sends   []Attempt // that may have run
	lost    bool      // where it was sent is not known: it was running when the process ended
	waiting int
	size    int
	until   time.Duration // forgotten then, unless running
	at      int           // in due
}

type tenant struct{ entries, bytes int }

// Store is the state machine. It is not safe for concurrent use.
type Store struct {
	o       Options
	window  func(class string) time.Duration
	entries map[ID]*entry
	due     priorityqueue.Queue[*entry]
	seq     uint64
	bytes   int
	running int
	tenants map[string]*tenant
}

// What an entry takes beside its texts and answer, and how many sends of it are remembered, about.
const (
	perEntry  = 700
	mostSends = 16
	perSend   = 40
)

// New returns an empty Store. window tells for how long the nodes drop repeats of a class.
func New(o Options, window func(class string) time.Duration) *Store {
	return &Store{o: o, window: window, entries: map[ID]*entry{}, due: priorityqueue.New(func(e *entry) *int { return &e.at }),
		tenants: map[string]*tenant{}}
}

// Configure takes other bounds over. What is held stays, also where it is more than they allow.
func (s *Store) Configure(o Options, window func(class string) time.Duration) {
	s.o, s.window = o, window
}

// Len and Bytes are what it holds.
func (s *Store) Len() int   { return len(s.entries) }
func (s *Store) Bytes() int { return s.bytes }

// Running is how many are to be ended.
func (s *Store) Running() int { return s.running }

// Arrive decides on a request. Expire goes before it.
func (s *Store) Arrive(now time.Duration, id ID, print Fingerprint) Decision {
	e := s.entries[id]
	if e == nil {
		return s.fresh(now, id, print)
	}
	if e.print != print {
		return Decision{Verdict: Conflict}
	}
	switch e.state {
	case running:
		if e.waiting >= s.o.MaxWaiting {
			return Decision{Verdict: Reject, RetryAfter: crowded}
		}
		e.waiting++
		return Decision{Verdict: Wait}
	case answered:
		if e.answer == nil {
			return Decision{Verdict: AnswerNotStored}
		}
		return Decision{Verdict: Replay, Answer: e.answer}
	}
	if e.lost {
		return Decision{Verdict: Fail}
	}
	window := s.window(id.Class)
	for _, x := range e.sends {
		if now-x.SentAt >= window {
			return Decision{Verdict: Fail}
		}
	}
	if s.running >= s.o.MaxRunning {
		return Decision{Verdict: Reject, RetryAfter: crowded}
	}
	e.state = running
	s.running++
	s.due.Remove(e)
	return Decision{Verdict: Execute, EarlierAttempts: append([]Attempt(nil), e.sends...)}
}

// crowded is when to come back where others of the same moment have to end first.
const crowded = 250 * time.Millisecond

// fresh decides on a key that is not known.
func (s *Store) fresh(now time.Duration, id ID, print Fingerprint) Decision {
	size := perEntry + id.bytes()
	t := s.tenants[id.Tenant]
	if t == nil {
		t = &tenant{}
	}
	full := len(s.entries) >= s.o.MaxKeys || s.bytes+size > s.o.MaxBytes.Bytes() ||
		float64(t.entries+1) > max(1, s.o.TenantFraction*float64(s.o.MaxKeys)) || float64(t.bytes+size) > max(float64(size), s.o.TenantFraction*float64(s.o.MaxBytes))
	switch {
	case id.bytes() > maxID:
		return Decision{Verdict: Conflict} // no honest key is that long
	case full && s.due.Len() > 0: // of the tenant's own another may have to go, which is later
		return Decision{Verdict: Reject, RetryAfter: max(crowded, s.due.First().until-now)}
	case full || s.running >= s.o.MaxRunning:
		return Decision{Verdict: Reject, RetryAfter: crowded}
	}
	e := &entry{id: id, print: print, at: -1}
	s.entries[id] = e
	s.tenants[id.Tenant] = t
	t.entries++
	s.grow(e, size)
	s.running++
	return Decision{Verdict: Execute}
}

func (s *Store) grow(e *entry, by int) {
	e.size += by
	s.bytes += by
	s.tenants[e.id.Tenant].bytes += by
}

// AttemptStarted tells that a running one is about to be sent, before its first byte: it may run from now on.
func (s *Store) AttemptStarted(id ID, x Attempt) {
	if e := s.entries[id]; e != nil && e.state == running {
		if len(e.sends) == mostSends { // where it may have run is no longer known in full: it is not sent again
			e.lost = true
			return
		}
		e.sends = append(e.sends, x)
		s.grow(e, perSend)
	}
}

// AttemptNotSent takes a send back that is proved not to have run.
func (s *Store) AttemptNotSent(id ID, x Attempt) {
	if e := s.entries[id]; e != nil && e.state == running {
		for i := range e.sends {
			if e.sends[i] == x {
				e.sends = append(e.sends[:i], e.sends[i+1:]...)
				s.grow(e, -perSend)
				return
			}
		}
	}
}

// Finish ends a running one; those that wait for it have its end too. What is known of sends decides whether it NotExecuted: a word
// to that effect does not count against one that may have. It returns how it is kept.
func (s *Store) Finish(now time.Duration, id ID, kind Outcome, a *Answer) Outcome {
	e := s.entries[id]
	if e == nil || e.state != running {
		return kind
	}
	s.running--
	e.waiting = 0
	if kind == NotExecuted && (len(e.sends) > 0 || e.lost) {
		kind = MayHaveRun
	}
	switch kind {
	case NotExecuted:
		s.forget(e)
		return kind
	case Answered:
		e.state = answered
		s.grow(e, -len(e.sends)*perSend)
		e.sends = nil
		if n := a.bytes(); n <= s.o.MaxAnswerBytes.Bytes() && s.bytes+n <= s.o.MaxBytes.Bytes() &&
			float64(s.tenants[id.Tenant].bytes+n) <= s.o.TenantFraction*float64(s.o.MaxBytes) {
			e.answer = a
			s.grow(e, n)
		}
	default:
		e.state = uncertain
	}
	s.keep(e, now)
	return kind
}

// StopWaiting tells that one that waits has left.
func (s *Store) StopWaiting(id ID) {
	if e := s.entries[id]; e != nil && e.waiting > 0 {
		e.waiting--
	}
}

func (s *Store) keep(e *entry, now time.Duration) {
	s.seq++
	e.until = now + s.o.Retention.D()
	s.due.Set(e, float64(e.until), s.seq)
}

func (s *Store) forget(e *entry) {
	s.due.Remove(e)
	delete(s.entries, e.id)
	t := s.tenants[e.id.Tenant]
	t.entries--
	t.bytes -= e.size
	s.bytes -= e.size
	if t.entries == 0 {
		delete(s.tenants, e.id.Tenant)
	}
}

// Expire forgets what is older than Options.Retention, and names it.
func (s *Store) Expire(now time.Duration) (gone []ID) {
	for s.due.Len() > 0 && s.due.First().until <= now {
		e := s.due.First()
		gone = append(gone, e.id)
		s.forget(e)
	}
	return gone
}

// Next is when Expire has something to do; false: nothing is kept.
func (s *Store) Next() (time.Duration, bool) {
	if s.due.Len() == 0 {
		return 0, false
	}
	return s.due.First().until, true
}

// Record is an entry as a disk that lasts has it. One that was Running when the process ended is uncertain, and where it was sent is
// not known: it is not sent again.
type Record struct {
	ID              ID
	Fingerprint     Fingerprint
	Running         bool
	Outcome         Outcome // Answered or Uncertain, where it is not Running
	Answer          *Answer
	Attempts        []Attempt
	AttemptsUnknown bool          // not all sends are known: it is not sent again
	UpdatedAt       time.Duration // its last event
}

// ErrStoreFull says that a record has no room: the bounds are smaller than they were.
var ErrStoreFull = errors.New("repeats: more keys are on record than may be held")

// Load takes a record over, of an earlier process whose time went on to now.
func (s *Store) Load(now time.Duration, r Record) error {
	size := perEntry + r.ID.bytes() + len(r.Attempts)*perSend
	if r.Answer != nil {
		size += r.Answer.bytes()
	}
	if s.entries[r.ID] != nil || r.UpdatedAt+s.o.Retention.D() <= now {
		return nil
	}
	if len(s.entries) >= s.o.MaxKeys || s.bytes+size > s.o.MaxBytes.Bytes() {
		return ErrStoreFull
	}
	e := &entry{id: r.ID, print: r.Fingerprint, at: -1, sends: r.Attempts, state: uncertain}
	switch {
	case r.Running || r.Outcome == MayHaveRun: // the nodes' windows went on while no process ran
		e.lost = true
	case r.Outcome == Answered:
		e.state, e.answer, e.sends = answered, r.Answer, nil
	}
	s.entries[r.ID] = e
	t := s.tenants[r.ID.Tenant]
	if t == nil {
		t = &tenant{}
		s.tenants[r.ID.Tenant] = t
	}
	t.entries++
	s.grow(e, size)
	s.keep(e, min(r.UpdatedAt, now))
	return nil
}

// Record is an entry's record now; false: there is none.
func (s *Store) Record(now time.Duration, id ID) (Record, bool) {
	e := s.entries[id]
	if e == nil {
		return Record{}, false
	}
	r := Record{ID: id, Fingerprint: e.print, Running: e.state == running, Attempts: append([]Attempt(nil), e.sends...), Answer: e.answer, AttemptsUnknown: e.lost, UpdatedAt: now}
	if e.state == uncertain {
		r.Outcome = MayHaveRun
	}
	return r, true
}
