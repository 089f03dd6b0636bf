package routes

import (
	"fmt"
	"net/http"
	"strings"

	"orchiddrift/internal/httpheader"
)

// Rejection answers a request that is not taken. Status is a 4xx, or 505; never 429, which would be a refusal.
type Rejection struct {
	Status int
	Allow  string // of 405: the methods to use
	Text   string // one line
}

func notAllowed(p *Pattern, methods []string) *Rejection {
	allow := strings.Join(methods, ", ")
	bad := reject(http.StatusMethodNotAllowed, "this is asked for with %s", allow)
	if p != nil && allow == "" {
		bad.Text = "not a method to ask with"
	}
	bad.Allow = allow
	return bad
}

func reject(status int, format string, args ...any) *Rejection {
	return &Rejection{Status: status, Text: fmt.Sprintf(format, args...)}
}

// displayName is a header's name as people write it.
func displayName(name string) string {
	if name == httpheader.RequestID {
		return "X-Request-ID"
	}
	return name
}
