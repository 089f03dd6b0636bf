package admission

// retryBudget bounds client retries to a fraction of first requests: a token bucket that first requests fill. It is the
// retry budget of Finagle and of the SRE book (chapter 22), kept at the receiving end. Each group has one, so that its
// retries are paid for by its own first requests, and all groups together have one, whose capacity is large enough that a
// few groups can't exhaust it for the others. A retry over its budget is rejected like any other request: at its reserved
// time it needs no token.
type retryBudget struct {
	tokens   float64 // each admits one retry
	capacity float64
}

const (
	newGroupRetryTokens = 1   // of a group that is new
	groupRetryBurst     = 10  // capacity for one group, in retries
	totalRetryBurst     = 200 // capacity for all groups together, in retries
)

// deposit adds the tokens of a first request.
func (b *retryBudget) deposit(ratio float64) { b.tokens = min(b.capacity, b.tokens+ratio) }

// available reports whether there is a token for a retry.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// withdraw takes a retry's token. It is called only while requests wait: otherwise retries cost nothing.
func (b *retryBudget) withdraw() { b.tokens-- }
