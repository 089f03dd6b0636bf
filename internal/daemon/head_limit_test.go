package daemon

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// A head of very many fields took memory for each of them. It is rejected by its turn on the connection: requests before it are answered as
// usual, also if they name the field that marks it, and those behind it are not processed.
func TestHeadWithTooManyFields(t *testing.T) {
	upstream := testutil.Raw(t, fakes.Says(fakes.OK200("served")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", upstream.Address, "Ready")), "127.0.0.1:0")
	client := dial(t, r.address, nil)
	request := func(id, fields string) string {
		return fmt.Sprintf("GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\n%s\r\n", id, fields)
	}
	var fields strings.Builder
	for i := range 1200 {
		fmt.Fprintf(&fields, "f%d:1\r\n", i)
	}
	text := request("1", "") + request("2", strings.Repeat("A: 1\r\n", 100)) + request("3", fields.String()) + request("4", "")
	go func() { _, _ = io.WriteString(client, text) }()
	for i, want := range []int{200, 200, 431} {
		response, body, err := client.answer()
		if err != nil || response.StatusCode != want {
			t.Fatalf("response %d is %v, body %q, error %v; want status %d", i+1, response, body, err, want)
		}
	}
	if _, _, err := client.answer(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the request after the rejected one got an answer, or error %v; want the end of the connection", err)
	}
	if got := len(upstream.Requests()); got != 2 {
		t.Errorf("the upstream got %d requests, want the two small ones", got)
	}
}
