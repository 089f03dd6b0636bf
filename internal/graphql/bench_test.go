package graphql

import (
	"fmt"
	"strings"
	"testing"
)

const searchBody = `{"query":"query SeatSearch($from:String!,$n:Int){seats(from:$from,first:$n){id price coach{id name seats{id}}}}","operationName":"SeatSearch","variables":{"from":"NBO","n":20}}`

// BenchmarkDecide is a request's way from its body to what goes on:
//
//	go test -run '^$' -bench . -benchmem ./internal/graphql
func BenchmarkDecide(b *testing.B) {
	nested := "{" + strings.Repeat("a{", 990) + "b" + strings.Repeat("}", 991)
	doubled := "{...F0}"
	for i := range 60 {
		doubled += fmt.Sprintf("fragment F%d on Ask{...F%d ...F%d}", i, i+1, i+1)
	}
	for _, c := range []struct {
		name, body, schema string
		cold               bool
	}{
		{"small", asked(`{seats(from:"N"){id}}`), "", false}, {"small", asked(`{seats(from:"N"){id}}`), "", true},
		{"search", searchBody, "", false}, {"search", searchBody, "", true}, {"search-schema", searchBody, schemaText, true},
		{"hostile-braces", asked(strings.Repeat("{", 60<<10)), schemaText, true},
		{"hostile-deep", asked(nested), schemaText, true},
		{"hostile-doubling", asked(doubled + "fragment F60 on Ask{audit}"), schemaText, true},
		{"hostile-roots", asked("{" + strings.Repeat("audit ", 1480) + "}"), schemaText, true},
		{"hostile-wide", asked("{coach(id:1){" + strings.Repeat("nothing ", 3900) + "}}"), schemaText, true},
		{"hostile-unknown", asked("{coach(id:1){" + strings.Repeat("nothing ", 1480) + "}}"), schemaText, true},
		{"hostile-same", asked("{coach(id:1){" + strings.Repeat("name ", 1480) + "}}"), schemaText, true},
		{"hostile-arguments", asked("{coach(id:1 " + strings.Repeat("x:1 ", 480) + "){id}}"), schemaText, true},
		{"hostile-variables", asked("query(" + strings.Repeat("$a:Nothing ", 360) + "){coach(id:1){id}}"), schemaText, true},
		{"hostile-fragments", asked("{...F}" + strings.Repeat("fragment F on Ask{a} ", 205)), schemaText, true},
		{"hostile-spreads", asked("{audit " + strings.Repeat("...{audit} ", 360) + "}"), schemaText, true},
		{"hostile-aliases", asked("{" + strings.Repeat("x:audit ", 480) + "}"), schemaText, true},
		{"hostile-json", strings.Repeat(`{"query":`, 7<<10), "", true},
		{"hostile-keys", `{"variables":{` + strings.Repeat(`"a":1,`, 5000) + `"b":1}}`, "", true},
	} {
		name := c.name + "/warm"
		if c.cold {
			name = c.name + "/cold"
		}
		b.Run(name, func(b *testing.B) {
			e := endpoint(b, c.schema, func(o *Options) {
				if c.cold {
					o.Cache = 0
				}
			})
			b.ReportAllocs()
			for b.Loop() {
				decide(e, c.body)
			}
		})
	}
}

// BenchmarkJudge is an answer's reading.
func BenchmarkJudge(b *testing.B) {
	e := endpoint(b, "", nil)
	for _, n := range []int{1, 100} {
		body := []byte(`{"data":{"seats":[` + strings.Repeat(`{"id":"1","price":12.5,"coach":{"id":"c1","name":"A"}},`, n) + `{}]}}`)
		b.Run(fmt.Sprint(len(body)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if e.Judge(200, body, false) != Served {
					b.Fatal()
				}
			}
		})
	}
}
