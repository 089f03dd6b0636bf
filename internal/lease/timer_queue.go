package lease

import "time"

// expiryTimer is the timer of a grant or of a wait.
type expiryTimer struct {
	name     string // of the lease
	client   string // of the waiter; empty: the timer is the grant's
	sequence uint64 // of the waiter
	token    Token  // of the grant
	deadline time.Duration
	proposed bool // its end was proposed
	index    int  // in the timerQueue
}

// timerKey identifies a timer: there is one for each grant (client is empty) and one for each waiter.
func timerKey(name, client string) string { return name + "\x00" + client }

// timerQueue is a heap of timers by deadline, for container/heap.
type timerQueue []*expiryTimer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is heap.Interface's.
func (q *timerQueue) Push(x any) {
	timer := x.(*expiryTimer)
	timer.index = len(*q)
	*q = append(*q, timer)
}

// Pop is heap.Interface's.
func (q *timerQueue) Pop() any {
	old := *q
	timer := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return timer
}
