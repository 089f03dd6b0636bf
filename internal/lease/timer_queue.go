package lease

import "time"

// expiryTimer is the timer of a grant or of a wait.
type expiryTimer struct {
	name     string // name of the lease
	client   string // the waiter; empty if the timer is that of the grant
	sequence uint64 // number of the waiter's acquisition
	token    Token  // fencing token of the grant
	deadline time.Duration
	proposed bool // the request that ends the grant or wait was proposed
	index    int  // position in the timerQueue
}

// timerKey identifies a timer: there is one for each grant (client is empty) and one for each waiter.
func timerKey(name, client string) string { return name + "\x00" + client }

// timerQueue is a heap of timers, ordered by deadline, for container/heap.
type timerQueue []*expiryTimer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	timer := x.(*expiryTimer)
	timer.index = len(*q)
	*q = append(*q, timer)
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	timer := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return timer
}
