package admission

// retryBudget bounds the repeats of clients as a part of their first requests: a token bucket that first requests fill. It is
// the retry budget of Finagle and of the SRE book (chapter 22), kept at the receiving end. Each group has one, so that its
// repeats are paid by its own first requests, and all together have one, whose burst is large enough that a few groups
// can't use it up for the others. A repeat over its budget is told when to come, and then goes within its group's share.
type retryBudget struct{ tokens, capacity float64 }

const (
	groupRetryBurst = 10  // repeats of a group that may come at once, having been earned; one that is new has a single one
	totalRetryBurst = 200 // and of all groups
)

// deposit notes a first request.
func (b *retryBudget) deposit(part float64) { b.tokens = min(b.capacity, b.tokens+part) }

// available tells whether there is room for a repeat, and spend takes it. It is taken only where requests wait: on a quiet day
// repeats cost nothing.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens-- }
