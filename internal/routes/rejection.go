package routes

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"orchiddrift/internal/httpheader"
)

// Rejection is the answer to a request that is not forwarded. Status is a 4xx or 505, but never 429, which
// would indicate overload.
type Rejection struct {
	Status int
	Allow  string // with status 405, the methods that are allowed
	Text   string // one line
	// RetryAfter, with status 503, is when the client may send the request again.
	RetryAfter time.Duration
}

func reject(status int, format string, args ...any) *Rejection {
	return &Rejection{Status: status, Text: fmt.Sprintf(format, args...)}
}

// rejectMethod rejects a request because of its method. found is the pattern that matched although its route is not for the method, or nil.
func rejectMethod(found *Pattern, methods []string) *Rejection {
	allow := strings.Join(methods, ", ")
	rejection := reject(http.StatusMethodNotAllowed, "this is asked for with %s", allow)
	if found != nil && allow == "" {
		rejection.Text = "not a method to ask with"
	}
	rejection.Allow = allow
	return rejection
}

func rejectUnknownClass(name string) *Rejection {
	return reject(http.StatusNotFound, "unknown class %q", name)
}

// displayName returns a header's name in the spelling of the platform's documents.
func displayName(name string) string {
	if name == httpheader.RequestID {
		return "X-Request-ID"
	}
	return name
}
