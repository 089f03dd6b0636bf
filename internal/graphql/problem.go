package graphql

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Codes of the sidecar's own errors, in extensions.code. Other GraphQL servers use the first ones as well.
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
	CodeRefused               = "REFUSED"         // rejected: not run, or safe to retry with the same idempotency key
	CodeFailed                = "UPSTREAM_FAILED" // no answer; extensions.mayHaveRun says whether it may have run
	CodeNotSent               = "NOT_SENT"        // not run: an earlier mutation of the batch failed or may still run
	CodeDuplicate             = "REQUEST_IN_HAND" // not run: another request with this id is in flight
	CodeKeyConflict           = "IDEMPOTENCY_KEY_CONFLICT"
	CodeTooLarge              = "ANSWER_TOO_LARGE"
	CodeUnusableAnswer        = "UPSTREAM_ANSWER" // the upstream's answer cannot be an entry of a batch's answer
)

// Problem is the reason for which a request is rejected: an error in the request, found before anything is sent.
type Problem struct {
	Status     int    // HTTP status of an answer in MediaResponse: a 4xx, never 429
	WellFormed bool   // the request is well-formed, so that an answer in MediaJSON has the status 200
	Code       string // extensions.code
	Message    string
	Allow      string // the Allow header of a 405
}

func (p *Problem) Error() string { return p.Message }

// newProblem returns a Problem of a well-formed request.
func newProblem(code, format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, WellFormed: true, Code: code, Message: fmt.Sprintf(format, args...)}
}

// malformed returns a Problem of a request that is not well-formed.
func malformed(format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeRequest, Message: fmt.Sprintf(format, args...)}
}

// StatusFor returns the HTTP status of the problem for an answer's media type.
func (p *Problem) StatusFor(media string) int {
	if p.WellFormed && media == MediaJSON {
		return http.StatusOK
	}
	return p.Status
}

// Body returns the body of an answer that reports the problem.
func (p *Problem) Body() []byte { return ErrorBody(p.Message, p.Code, nil) }

// FailureDetails are further extensions of the error of an operation that has no answer.
type FailureDetails struct {
	MayHaveRun bool
	RetryAfter time.Duration // 0 if not given
}

// ErrorBody returns the body of an answer with one error. details may be nil.
func ErrorBody(message, code string, details *FailureDetails) []byte {
	extensions := map[string]any{"code": code}
	if details != nil {
		extensions["mayHaveRun"] = details.MayHaveRun
		if details.RetryAfter > 0 {
			extensions["retryAfter"] = details.RetryAfter.Seconds()
		}
	}
	// Strings, numbers and booleans can always be encoded.
	body, _ := json.Marshal(map[string]any{"errors": []any{map[string]any{"message": message, "extensions": extensions}}})
	return body
}
