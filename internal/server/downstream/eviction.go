package downstream

import (
	"log/slog"
	"slices"
	"time"
)

// maxEvictionTries is the number of connections that are tried for one eviction. A connection that has a request to read is not evicted.
const maxEvictionTries = 16

// evictionRank orders connections for eviction: connections with the highest rank are evicted first, and those with rankNeeded never.
type evictionRank int

const (
	rankNeeded         evictionRank = iota
	rankReceiving                   // its client has been sending a request for long
	rankNewSilent                   // it has had no request yet, but is new
	rankRecentlyUsed                // its latest request ended within requestGap
	rankStalled                     // its client has begun a request and does not go on with it
	rankUnused                      // its latest request ended before that
	rankNeverRequested              // it never had a request
	rankShut                        // it was shut after its last response
	rankClientGone                  // the client has disconnected and waits for no response
	ranksEnd                        // number of ranks
)

// rankNames are the names of the ranks in the log.
var rankNames = [ranksEnd]string{"needed", "receiving", "new", "recently_used", "stalled", "unused", "never_used", "answered", "client_gone"}

// evictionRank returns the rank of a connection. A connection that never had a request ranks above one that had, so that clients that open
// hundreds of connections and send nothing do not displace clients that send requests. The parameter except is a connection that is not
// evicted while it is new.
func (i *connInfo) evictionRank(client, except *conn, now time.Time) evictionRank {
	idleTime := now.Sub(i.idleSince)
	isNew := !i.hasRequested && idleTime < firstRequestTime
	switch {
	case i.closing || client == except && isNew:
		return rankNeeded
	case client.clientGone.Load():
		return rankClientGone
	case client.currentPhase() == phaseActive && client.arrival.stalled(now):
		return rankStalled
	case client.currentPhase() == phaseActive && client.arrival.receivingFor(now) >= receiveTime:
		return rankReceiving
	case client.currentPhase() == phaseActive:
		return rankNeeded
	case client.currentPhase() == phaseShut:
		return rankShut
	case idleTime < silentTime || i.hasRequested && idleTime < restTime:
		return rankNeeded
	case isNew:
		return rankNewSilent
	case i.hasRequested && idleTime < requestGap:
		return rankRecentlyUsed
	case i.hasRequested:
		return rankUnused
	}
	return rankNeverRequested
}

// Evictions counts the connections that were closed because another one needed their place.
type Evictions struct{ counts [ranksEnd]int }

// Evictions returns the counts since the start.
func (c *Connections) Evictions() Evictions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Evictions{c.evicted}
}

// Limit returns the largest number of connections.
func (c *Connections) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// LogValue implements slog.LogValuer.
func (e Evictions) LogValue() slog.Value {
	var counts []slog.Attr
	for rank, count := range e.counts {
		if count > 0 {
			counts = append(counts, slog.Int(rankNames[rank], count))
		}
	}
	return slog.GroupValue(counts...)
}

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	client    *conn
	rank      evictionRank
	idleSince time.Time
}

// compareCandidates orders candidates: the one to evict first is the smallest.
func compareCandidates(a, b evictionCandidate) int {
	if a.rank != b.rank {
		return int(b.rank - a.rank)
	}
	return a.idleSince.Compare(b.idleSince)
}

// evictLocked closes the connection that is needed least, and reports whether it closed one. Of several connections of the same rank it
// closes the one that has been idle longest. c.mu is held.
func (c *Connections) evictLocked(except *conn) bool {
	now := time.Now()
	candidates := c.candidatesLocked(except, now)
	none := len(candidates) == 0 || candidates[0].rank == rankReceiving
	if none && now.Sub(c.goneSoughtAt) >= goneCheckInterval {
		c.goneSoughtAt = now
		c.findGoneLocked()
		candidates = c.candidatesLocked(except, now)
	}
	for _, candidate := range candidates {
		if candidate.client.evict(candidate.rank, now) {
			c.conns[candidate.client].closing = true
			c.closing++
			c.evicted[candidate.rank]++
			return true
		}
	}
	return false
}

// findGoneLocked asks the system which clients have left behind requests that are not read on. c.mu is held.
func (c *Connections) findGoneLocked() {
	for client := range c.conns {
		client.checkLeftUnread()
	}
}

// candidatesLocked returns the connections to evict first, at most maxEvictionTries. c.mu is held.
func (c *Connections) candidatesLocked(except *conn, now time.Time) []evictionCandidate {
	if c.looked != nil {
		c.looked()
	}
	first := c.candidates[:0]
	for client, info := range c.conns {
		rank := info.evictionRank(client, except, now)
		if rank == rankNeeded {
			continue
		}
		candidate := evictionCandidate{client, rank, info.idleSince}
		if len(first) == maxEvictionTries {
			if compareCandidates(candidate, first[len(first)-1]) >= 0 {
				continue
			}
			first = first[:len(first)-1]
		}
		place, _ := slices.BinarySearchFunc(first, candidate, compareCandidates)
		first = slices.Insert(first, place, candidate)
	}
	c.candidates = first
	return first
}

// evict closes a connection of a rank at once, unless its client goes on with a request or begins one meanwhile.
func (c *conn) evict(rank evictionRank, now time.Time) bool {
	switch rank {
	case rankStalled:
		return !c.hasUnreadBytes() && c.closeIf(c.arrival.stalled(now))
	case rankReceiving: // bytes that are unread may be its last ones
		return !c.hasUnreadBytes() && c.closeIf(c.arrival.receivingFor(now) >= receiveTime)
	case rankShut, rankClientGone:
		return c.closeUnlessActive()
	}
	return !c.hasUnreadBytes() && c.closeUnlessActive()
}
