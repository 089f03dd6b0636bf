package graphql

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Codes of the sidecar's own errors, as extensions.code. The first ones are those that other servers use as well.
const (
	CodeParse                 = "GRAPHQL_PARSE_FAILED"
	CodeValidation            = "GRAPHQL_VALIDATION_FAILED"
	CodeRequest               = "BAD_REQUEST"
	CodeOperation             = "OPERATION_RESOLUTION_FAILURE"
	CodePersistedNotFound     = "PERSISTED_QUERY_NOT_FOUND"
	CodePersistedNotSupported = "PERSISTED_QUERY_NOT_SUPPORTED"
	CodeLimit                 = "OPERATION_TOO_LARGE"
	CodeSubscription          = "SUBSCRIPTION_NOT_SUPPORTED"
	CodeUnknownOperation      = "OPERATION_NOT_KNOWN"
	CodeRefused               = "REFUSED"         // not run, trying again is harmless
	CodeFailed                = "UPSTREAM_FAILED" // no promise: it may have run
	CodeNotSent               = "NOT_SENT"        // an earlier mutation of the batch has no good end: not run
	CodeDuplicate             = "REQUEST_IN_HAND" // another request of this id is in hand; this one was not run
	CodeKeyConflict           = "IDEMPOTENCY_KEY_CONFLICT"
	CodeTooLarge              = "ANSWER_TOO_LARGE"
	CodeUnusableAnswer        = "UPSTREAM_ANSWER" // what came is no answer that can stand in a batch
)

// Problem is why a request is not taken. It is an error of the request, before anything is sent.
type Problem struct {
	Status     int    // by the specification's own media type: a 4xx, never 429
	WellFormed bool   // the request is well formed: application/json has 200 for it
	Code       string // extensions.code
	Message    string
	Allow      string // of 405
}

func (p *Problem) Error() string { return p.Message }

func newProblem(code, format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, WellFormed: true, Code: code, Message: fmt.Sprintf(format, args...)}
}

func malformed(format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeRequest, Message: fmt.Sprintf(format, args...)}
}

// StatusFor is the status that a media type has for the problem.
func (p *Problem) StatusFor(media string) int {
	if p.WellFormed && media == MediaJSON {
		return http.StatusOK
	}
	return p.Status
}

// Body is the problem as an answer.
func (p *Problem) Body() []byte { return ErrorBody(p.Message, p.Code, nil) }

// FailureDetails is what is known of an operation that has no answer, beside its error's code.
type FailureDetails struct {
	MayHaveRun bool
	RetryAfter time.Duration // 0: nothing is said
}

// ErrorBody is an answer that is one error. known may be nil.
func ErrorBody(message, code string, details *FailureDetails) []byte {
	extensions := map[string]any{"code": code}
	if details != nil {
		extensions["mayHaveRun"] = details.MayHaveRun
		if details.RetryAfter > 0 {
			extensions["retryAfter"] = details.RetryAfter.Seconds()
		}
	}
	// Strings, numbers and truth values can be written.
	body, _ := json.Marshal(map[string]any{"errors": []any{map[string]any{"message": message, "extensions": extensions}}})
	return body
}
