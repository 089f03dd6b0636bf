package graphql

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The media types of GraphQL over HTTP.
const (
	MediaResponse = "application/graphql-response+json"
	MediaJSON     = "application/json"
)

// Codes of the sidecar's own errors, as extensions.code. The first ones are those that other servers use as well.
const (
	CodeParse        = "GRAPHQL_PARSE_FAILED"
	CodeValidation   = "GRAPHQL_VALIDATION_FAILED"
	CodeRequest      = "BAD_REQUEST"
	CodeOperation    = "OPERATION_RESOLUTION_FAILURE"
	CodeNotPersisted = "PERSISTED_QUERY_NOT_FOUND"
	CodeNoPersisted  = "PERSISTED_QUERY_NOT_SUPPORTED"
	CodeLimit        = "OPERATION_TOO_LARGE"
	CodeSubscription = "SUBSCRIPTION_NOT_SUPPORTED"
	CodeUnknown      = "OPERATION_NOT_KNOWN"
	CodeRefused      = "REFUSED"         // not run, trying again is harmless
	CodeFailed       = "UPSTREAM_FAILED" // no promise: it may have run
	CodeNotSent      = "NOT_SENT"        // an earlier mutation of the batch has no good end: not run
	CodeDuplicate    = "REQUEST_IN_HAND" // another request of this id is in hand; this one was not run
	CodeKey          = "IDEMPOTENCY_KEY_CONFLICT"
	CodeTooLarge     = "ANSWER_TOO_LARGE"
	CodeAnswer       = "UPSTREAM_ANSWER" // what came is no answer that can stand in a batch
)

// Problem is why a request is not taken. It is an error of the request, before anything is sent.
type Problem struct {
	Status  int    // by the specification's own media type: a 4xx, never 429
	Formed  bool   // the request is well formed: application/json has 200 for it
	Code    string // extensions.code
	Message string
	Allow   string // of 405
}

func (p *Problem) Error() string { return p.Message }

func problem(code, format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Formed: true, Code: code, Message: fmt.Sprintf(format, args...)}
}

func malformed(format string, args ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeRequest, Message: fmt.Sprintf(format, args...)}
}

// StatusFor is the status that a media type has for the problem.
func (p *Problem) StatusFor(media string) int {
	if p.Formed && media == MediaJSON {
		return http.StatusOK
	}
	return p.Status
}

// Body is the problem as an answer.
func (p *Problem) Body() []byte { return ErrorBody(p.Message, p.Code, nil) }

// Known is what is known of an operation that has no answer, beside its error's code.
type Known struct {
	MayHaveRun bool
	RetryAfter time.Duration // 0: nothing is said
}

// ErrorBody is an answer that is one error. known may be nil.
func ErrorBody(message, code string, known *Known) []byte {
	extensions := map[string]any{"code": code}
	if known != nil {
		extensions["mayHaveRun"] = known.MayHaveRun
		if known.RetryAfter > 0 {
			extensions["retryAfter"] = known.RetryAfter.Seconds()
		}
	}
	// Strings, numbers and truth values can be written.
	body, _ := json.Marshal(map[string]any{"errors": []any{map[string]any{"message": message, "extensions": extensions}}})
	return body
}

// Media picks the answer's media type by an Accept header; false: none of the two is wanted. Without a header it is the
// specification's own, as that says since 2025. Of two types wanted alike the specification's own goes first.
func Media(accept []string) (string, bool) {
	if len(accept) == 0 {
		return MediaResponse, true
	}
	weight := func(media string) float64 {
		best, exact := 0.0, -1
		for _, line := range accept {
			for _, item := range strings.Split(line, ",") {
				parts := strings.Split(item, ";")
				name := strings.ToLower(strings.TrimSpace(parts[0]))
				how := -1
				switch name {
				case media:
					how = 2
				case "application/*":
					how = 1
				case "*/*":
					how = 0
				}
				if how < exact || how < 0 {
					continue
				}
				q := 1.0
				for _, p := range parts[1:] {
					if key, value, _ := strings.Cut(strings.TrimSpace(p), "="); strings.EqualFold(key, "q") {
						if q, _ = strconv.ParseFloat(strings.TrimSpace(value), 64); !(q >= 0 && q <= 1) {
							q = 0
						}
					}
				}
				best, exact = q, how
			}
		}
		return best
	}
	own, plain := weight(MediaResponse), weight(MediaJSON)
	switch {
	case own == 0 && plain == 0:
		return "", false
	case plain > own:
		return MediaJSON, true
	}
	return MediaResponse, true
}

// IsJSON tells whether a Content-Type is application/json in UTF-8.
func IsJSON(contentType string) bool {
	name, params, _ := strings.Cut(contentType, ";")
	if !strings.EqualFold(strings.TrimSpace(name), MediaJSON) {
		return false
	}
	for _, p := range strings.Split(params, ";") {
		key, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		if strings.EqualFold(strings.TrimSpace(key), "charset") && !strings.EqualFold(value, "utf-8") {
			return false
		}
	}
	return true
}
