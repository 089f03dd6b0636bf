package admission

// retryBudget bounds client retries to a fraction of first requests: a token bucket that first requests fill. It is the
// retry budget of Finagle and of the SRE book (chapter 22), applied by the receiver of the requests. Each group has a
// budget, so that its own first requests pay for its retries. All groups together have another one, whose capacity is
// large enough that a few groups cannot exhaust it for the others. A retry beyond the budget is rejected in the same
// way as any other request. A retry at its reserved time needs no token.
type retryBudget struct {
	tokens   float64 // each admits one retry
	capacity float64
}

const (
	newGroupRetryTokens = 1   // initial tokens of a group
	groupRetryBurst     = 10  // capacity for one group, in retries
	totalRetryBurst     = 200 // capacity for all groups together, in retries
)

// deposit adds the tokens of a first request.
func (b *retryBudget) deposit(ratio float64) { b.tokens = min(b.capacity, b.tokens+ratio) }

// available reports whether there is a token for a retry.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// withdraw takes the token of a retry. It is called only while the limit is saturated; at other times retries need
// none.
func (b *retryBudget) withdraw() { b.tokens-- }
