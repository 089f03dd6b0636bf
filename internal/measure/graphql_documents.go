package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"orchiddrift/balancer"
	"orchiddrift/internal/graphql"
)

// printGraphQLDocuments prints the cost of a GraphQL request from its body to the decision to forward or reject it. It measures
// small and typical documents, both cached and new, and documents that are designed to be expensive.
func printGraphQLDocuments(out io.Writer) error {
	requestBody := func(query string) string { return fmt.Sprintf(`{"query":%q}`, query) }
	doubled := "{...F0}"
	for i := range 60 {
		doubled += fmt.Sprintf("fragment F%d on Query{...F%d ...F%d}", i, i+1, i+1)
	}
	repeatedField := func(text string, n int) string { return requestBody("{coach(id:1){" + strings.Repeat(text, n) + "}}") }
	small := requestBody(`{coach(id:1){name}}`)
	search := fmt.Sprintf(`{"query":%q,"operationName":"SeatSearch","variables":{"from":"NBO","to":"MSA","n":20}}`, graphqlQuery)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "document\tend\tns\tbytes\tallocations\t")
	for _, c := range []struct {
		name, body    string
		schema, known bool
	}{
		{"small, known", small, false, true}, {"small", small, false, false}, {"seat search, known", search, false, true},
		{"seat search", search, false, false}, {"seat search, schema", search, true, false},
		{"60 KiB of braces", requestBody(strings.Repeat("{", 60<<10)), true, false},
		{"990 levels", requestBody("{" + strings.Repeat("a{", 990) + "b" + strings.Repeat("}", 991)), true, false},
		{"60 fragments that double", requestBody(doubled + "fragment F60 on Query{__typename}"), true, false},
		{"1,480 root fields", requestBody("{" + strings.Repeat("__typename ", 1480) + "}"), true, false},
		{"3,900 fields", repeatedField("name ", 3900), true, false}, {"1,480 unknown fields", repeatedField("nothing ", 1480), true, false},
		{"one field 1,480 times", repeatedField("name ", 1480), true, false}, {"480 aliases", repeatedField("x:name ", 480), true, false},
		{"360 spreads", repeatedField("...{name} ", 360), true, false},
		{"480 arguments", requestBody("{coach(id:1 " + strings.Repeat("x:1 ", 480) + "){id}}"), true, false},
		{"360 variables", requestBody("query(" + strings.Repeat("$a:Nothing ", 360) + "){coach(id:1){id}}"), true, false},
		{"205 fragments", requestBody("{...F}" + strings.Repeat("fragment F on Query{a} ", 205)), true, false},
		{"64 KiB of JSON in JSON", strings.Repeat(`{"query":`, 7<<10), false, false},
		{"5,000 keys", `{"variables":{` + strings.Repeat(`"a":1,`, 5000) + `"b":1}}`, false, false},
	} {
		o, schema := graphql.Default(), ""
		if c.schema {
			schema = graphqlSchema
		}
		if !c.known {
			o.CacheBytes = 0
		}
		class := &balancer.Class{Deadline: 1e9, Idempotency: balancer.NonIdempotent}
		endpoint, err := graphql.New(o, func(string) *balancer.Class { return class }, schema, "")
		if err != nil {
			return err
		}
		outcome := ""
		ns, bytes, allocations := measureRepeated(func() {
			request, rejection := graphql.ParseBody([]byte(c.body), endpoint.Limits())
			if outcome = "taken"; rejection == nil {
				_, rejection = endpoint.Decide(&request.Params[0], false, nil)
			}
			if rejection != nil {
				outcome = rejection.Code
			}
		})
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", c.name, outcome, ns, bytes, allocations)
	}
	return w.Flush()
}
