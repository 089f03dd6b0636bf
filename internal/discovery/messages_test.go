package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/testing/testutil"
)

func split(from io.Reader) (all []string, err error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 16), maxMessageBytes)
	lines.Split((&messageSplitter{}).split)
	for lines.Scan() {
		all = append(all, lines.Text())
	}
	return all, lines.Err()
}

// Guards against a list that is not understood for how it is written: on many lines, in pieces of one byte, with braces and line
// ends in its texts. What is cut short or no object is an error, not a wait for the rest.
func TestMessages(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
		err  error
	}{
		{"{\"a\":1}\n\n{\"b\":[2]}\n", []string{`{"a":1}`, "", `{"b":[2]}`}, nil},
		{"\r\n \t\n{\"a\":1}\r\n", []string{"", "", `{"a":1}`}, nil},
		{"  {\n  \"a\": [\n    {}\n  ]\n}\n\n", []string{"{\n  \"a\": [\n    {}\n  ]\n}", ""}, nil},
		{`{"a":"}\"]{\\"}{"b":"` + "\n" + `"}`, []string{`{"a":"}\"]{\\"}`, `{"b":"` + "\n" + `"}`}, nil},
		{"{\"a\":\n\n{\"b\":2}\n", nil, errTruncated},
		{"{\"a\":[1,", nil, errTruncated},
		{"[1]\n", nil, errNotAnObject},
		{"HTTP\n", nil, errNotAnObject},
		{"}\n", nil, errNotAnObject},
	} {
		for _, pieces := range []bool{false, true} {
			var from io.Reader = strings.NewReader(c.text)
			if pieces {
				from = iotest.OneByteReader(from)
			}
			got, err := split(from)
			if pieces { // a line's end that had not come yet is a sign of life of its own
				got = sift(got)
			}
			want := c.want
			if pieces {
				want = sift(want)
			}
			if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) || err != c.err {
				t.Errorf("%q: %q and %v, not %q and %v", c.text, got, err, want, c.err)
			}
		}
	}
}

func sift(all []string) (some []string) {
	for _, s := range all {
		if s != "" {
			some = append(some, s)
		}
	}
	return some
}

// Guards against a cap on lists: 1,024 long entries, indented, in pieces of one byte.
func TestLongLists(t *testing.T) {
	var entries []string
	for i := range 1024 {
		entries = append(entries, testutil.Entry(fmt.Sprintf("s-%04d-%s", i, strings.Repeat("x", 200)), "127.100.100.100:65535", "Ready"))
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(testutil.List(1, true, entries...)), "", "        "); err != nil {
		t.Fatal(err)
	}
	all, err := split(iotest.OneByteReader(&text))
	if err != nil || len(all) != 1 {
		t.Fatalf("%d messages, %v", len(all), err)
	}
	if l, err := endpoints.ParseList([]byte(all[0])); err != nil || len(l.Endpoints) != 1024 {
		t.Errorf("%v", err)
	}
}
