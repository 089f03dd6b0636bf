package httpheader

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// The range of the statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// Statuses is a set of HTTP statuses, from 200 to 599.
type Statuses [maxFinalStatus + 1]bool

// Only200 returns the set that contains 200 alone, the platform's only success status.
func Only200() *Statuses {
	s := &Statuses{}
	s[http.StatusOK] = true
	return s
}

// Has reports whether a status is in the set.
func (s *Statuses) Has(status int) bool { return status >= 0 && status < len(s) && s[status] }

// ParseStatuses parses statuses, such as "404", and classes of them, such as "2xx". 429 and 503 mean that a request was rejected: a
// class does not contain them, and ParseStatuses returns an error if they are given as single statuses.
func ParseStatuses(words []string) (*Statuses, error) {
	s := &Statuses{}
	for _, word := range words {
		first, last, err := parseStatusRange(word)
		if err != nil {
			return nil, err
		}
		for status := first; status <= last; status++ {
			s[status] = !isRejection(status)
		}
	}
	return s, nil
}

// parseStatusRange returns the first and the last status that a word means.
func parseStatusRange(word string) (first, last int, err error) {
	if digit, ok := strings.CutSuffix(word, "xx"); ok {
		class, err := strconv.Atoi(digit)
		if err != nil || class < 2 || class > 5 {
			return 0, 0, fmt.Errorf("%q is not a class of statuses from 2xx to 5xx", word)
		}
		return class * 100, class*100 + 99, nil
	}
	status, err := strconv.Atoi(word)
	if err != nil || status < minFinalStatus || status > maxFinalStatus {
		return 0, 0, fmt.Errorf("%q is not the status of a final response", word)
	}
	if isRejection(status) {
		return 0, 0, fmt.Errorf("%d says that a request was rejected, and cannot be given here", status)
	}
	return status, status, nil
}

func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
