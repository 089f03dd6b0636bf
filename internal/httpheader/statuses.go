package httpheader

import (
	"fmt"
	"strconv"
	"strings"
)

// Statuses is a set of HTTP statuses, from 200 to 599.
type Statuses [600]bool

// Only200 is the platform's: no other answer counts as served.
func Only200() *Statuses {
	s := &Statuses{}
	s[200] = true
	return s
}

// Has reports whether a status is in it.
func (s *Statuses) Has(status int) bool { return status >= 0 && status < len(s) && s[status] }

// ParseStatuses reads statuses, "404", and classes of them, "2xx". 429 and 503 say that a request was rejected, and
// are in no class.
func ParseStatuses(words []string) (*Statuses, error) {
	s := &Statuses{}
	for _, word := range words {
		from, to := 0, 0
		if class, ok := strings.CutSuffix(word, "xx"); ok {
			n, err := strconv.Atoi(class)
			if err != nil || n < 2 || n > 5 {
				return nil, fmt.Errorf("%q is no class of statuses", word)
			}
			from, to = n*100, n*100+99
		} else {
			n, err := strconv.Atoi(word)
			if err != nil || n < 200 || n > 599 {
				return nil, fmt.Errorf("%q is no status of a final answer", word)
			}
			if n == 429 || n == 503 {
				return nil, fmt.Errorf("%d says that a request was turned away, which is not an answer", n)
			}
			from, to = n, n
		}
		for n := from; n <= to; n++ {
			s[n] = n != 429 && n != 503
		}
	}
	return s, nil
}
