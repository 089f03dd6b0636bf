package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/testing/testutil"
)

func splitMessages(from io.Reader) (messages []string, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 16), maxMessageBytes)
	scanner.Split((&messageSplitter{}).split)
	for scanner.Scan() {
		messages = append(messages, scanner.Text())
	}
	return messages, scanner.Err()
}

// TestMessageSplitter guards against messages that are split in the wrong place because they have several lines, arrive byte by byte, or
// have braces and line ends in their strings. Truncated and malformed messages must be reported at once.
func TestMessageSplitter(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		want []string
		err  error
	}{
		{"objects and a heartbeat", "{\"a\":1}\n\n{\"b\":[2]}\n", []string{`{"a":1}`, "", `{"b":[2]}`}, nil},
		{"carriage returns", "\r\n \t\n{\"a\":1}\r\n", []string{"", "", `{"a":1}`}, nil},
		{"object on several lines", "  {\n  \"a\": [\n    {}\n  ]\n}\n\n", []string{"{\n  \"a\": [\n    {}\n  ]\n}", ""}, nil},
		{"braces in strings", `{"a":"}\"]{\\"}{"b":"` + "\n" + `"}`, []string{`{"a":"}\"]{\\"}`, `{"b":"` + "\n" + `"}`}, nil},
		{"empty line in an object", "{\"a\":\n\n{\"b\":2}\n", nil, errTruncated},
		{"end of the body in an object", "{\"a\":[1,", nil, errTruncated},
		{"a list", "[1]\n", nil, errNotAnObject},
		{"text", "HTTP\n", nil, errNotAnObject},
		{"a closing brace", "}\n", nil, errNotAnObject},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := splitMessages(strings.NewReader(c.text))
			if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", c.want) || err != c.err {
				t.Errorf("got messages %q and error %v, want %q and %v", got, err, c.want, c.err)
			}
			got, err = splitMessages(iotest.OneByteReader(strings.NewReader(c.text)))
			got, want := withoutHeartbeats(got), withoutHeartbeats(c.want) // a line end that arrives separately counts as a heartbeat
			if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) || err != c.err {
				t.Errorf("byte by byte: got messages %q and error %v, want %q and %v", got, err, want, c.err)
			}
		})
	}
}

func withoutHeartbeats(messages []string) []string {
	return slices.DeleteFunc(slices.Clone(messages), func(m string) bool { return m == "" })
}

// TestMessageSplitterOnLongList checks that a message of 1,024 long, indented entries that arrives byte by byte is not split or rejected.
func TestMessageSplitterOnLongList(t *testing.T) {
	const entryCount = 1024
	var entries []string
	for i := range entryCount {
		entries = append(entries, testutil.Entry(fmt.Sprintf("s-%04d-%s", i, strings.Repeat("x", 200)), "127.100.100.100:65535", "Ready"))
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(testutil.List(1, true, entries...)), "", "        "); err != nil {
		t.Fatal(err)
	}
	messages, err := splitMessages(iotest.OneByteReader(&text))
	if err != nil || len(messages) != 1 {
		t.Fatalf("got %d messages and error %v, want 1 message", len(messages), err)
	}
	if l, err := endpoints.ParseList([]byte(messages[0])); err != nil || len(l.Endpoints) != entryCount {
		t.Errorf("the message could not be parsed (error %v), or its number of endpoints is not entryCount", err)
	}
}
