package metrics

import "strconv"

// ClassReading holds the counts of one class. Started is the sum of Finished and Pending.
type ClassReading struct {
	Class    string
	Started  int64
	Finished [outcomesEnd]int64 // by Outcome
	Pending  int64
}

// Reading holds all counts at one moment.
type Reading struct {
	Classes       []ClassReading // by name
	Pending       int64          // of all classes
	AttemptsSent  int64
	Reloads       int64 // successful reloads of the configuration
	ReloadsFailed int64 // failed reloads of the configuration

	Members     int64 // upstreams of all services
	Unavailable int64 // members that are ejected or draining

	// ListAge is the age of the oldest endpoint list, in milliseconds: the time since the list was last known to be current. It is negative
	// if no list is followed; the fields below have no meaning then.
	ListAge         int64
	Overdue         int64 // lists past their staleness deadline
	ListCalls       int64 // polls and watches of the lists
	ListCallsFailed int64 // those of ListCalls that were rejected, failed, or canceled by the discovery server
}

// Estimates of the length of a reading's text, for its initial capacity.
const (
	typicalLineBytes = 64
	linesPerClass    = int(outcomesEnd)
	otherLines       = 8
)

// Text formats a reading for operators, with a line "name=value" for each metric.
func (r Reading) Text() string {
	out := make([]byte, 0, typicalLineBytes*(linesPerClass*len(r.Classes)+otherLines))
	line := func(value int64, name ...string) {
		for _, part := range name {
			out = append(out, part...)
		}
		out = append(out, '=')
		out = strconv.AppendInt(out, value, 10)
		out = append(out, '\n')
	}
	for _, class := range r.Classes {
		for outcome, count := range class.Finished {
			line(count, "downstream_requests.", class.Class, ".", outcomeNames[outcome])
		}
	}
	line(r.AttemptsSent, "upstream_requests")
	line(r.Pending, "pending")
	line(r.Members, "members")
	line(r.Unavailable, "members_unavailable")
	if r.ListAge >= 0 {
		line(r.ListAge, "list_age_ms")
		line(r.Overdue, "lists_overdue")
		line(r.ListCalls, "list_calls")
		line(r.ListCallsFailed, "list_calls_failed")
	}
	line(r.Reloads, "config_reloads")
	line(r.ReloadsFailed, "config_reload_errors")
	return string(out)
}
