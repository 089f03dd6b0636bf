package graphql

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against answers that are classified as failures of the upstream although none of their error codes is configured as a failure, and
// against malformed texts that are classified as GraphQL answers.
func TestClassify(t *testing.T) {
	e := endpoint(t, "", func(o *Options) { o.FailingCodes, o.NotRunCodes = []string{"GONE"}, []string{"FULL"} })
	coded := func(codes ...string) string {
		text := []string{}
		for _, c := range codes {
			text = append(text, fmt.Sprintf(`{"message":"m","extensions":{"code":%q}}`, c))
		}
		return `"errors":[` + strings.Join(text, ",") + `]`
	}
	for body, want := range map[string]Classification{
		`{"data":{"a":1}}`: Served, ` {"data":{},"extensions":{}} `: Served, `{"data":null}`: Served,
		`{"data":{"a":null},` + coded("GONE") + `}`: Served, `{"data":null,` + coded("GONE") + `}`: UpstreamFailed,
		`{` + coded("GONE") + `}`: UpstreamFailed, `{` + coded("X", "GONE") + `}`: UpstreamFailed, `{` + coded("X") + `}`: Served,
		`{` + coded("FULL") + `}`: NotExecuted, `{` + coded("FULL", "FULL") + `}`: NotExecuted, `{` + coded("FULL", "X") + `}`: UpstreamFailed,
		`{"errors":[{"message":"m"},` + coded("FULL")[10:] + `}`: UpstreamFailed, `{"data":{"a":1},` + coded("FULL") + `}`: Served,
		`{"errors":[{"message":"m"}]}`: Served, `{"errors":[]}`: Malformed, `{"errors":[{}]}`: Malformed, `{"errors":{}}`: Malformed,
		`{"data":[]}`: Malformed, `{"data":1}`: Malformed, `{}`: Malformed, `[]`: Malformed, ``: Malformed, `ok`: Malformed, `{"data":{"a":1}`: Malformed,
		`{"data":{"a":1}}{`: Malformed, `{"data":{},"data":{}}`: Malformed, "{\"data\":{\"a\":\"\xff\"}}": Malformed, `{"errors":[1]}`: Malformed,
		"\x1f\x8b": Malformed,
	} {
		if got := e.Classify(200, []byte(body), false); got != want {
			t.Errorf("answer %s is classified as %v, want %v", body, got, want)
		}
		if other := e.Classify(401, []byte(body), false); want == Malformed && other != Served {
			t.Errorf("answer with status 401 and body %s is classified as %v, want Served", body, other)
		}
		if IsAnswer([]byte(body)) != (want != Malformed) {
			t.Errorf("body %s: IsAnswer is %v, which differs from Classify", body, want == Malformed)
		}
	}
	if e.Classify(200, []byte(`{"data":{}}`), true) != Malformed {
		t.Error("an answer with a content encoding is not classified as Malformed")
	}
}
