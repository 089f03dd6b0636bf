package door

// budget bounds the repeats of clients as a part of their first requests: a token bucket that first requests fill. It is
// the retry budget of Finagle and of the SRE book (chapter 22), kept at the receiving end.
type budget struct{ tokens float64 }

const budgetBurst = 10 // repeats that may come at once, having been earned

func newBudget() budget { return budget{budgetBurst} }

// first notes a first request.
func (b *budget) first(part float64) { b.tokens = min(budgetBurst, b.tokens+part) }

// may tells whether there is room for a repeat, and spend takes it. It is taken only where requests wait: on a quiet day
// repeats cost nothing.
func (b *budget) may() bool { return b.tokens >= 1 }

func (b *budget) spend() { b.tokens-- }
