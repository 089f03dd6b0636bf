package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"orchiddrift/internal/testing/testutil/base"
)

// Usual bodies of any number of clients were kept in memory, whatever there was of it. One for which there is no space gets 503 and may come
// back: nothing was sent. Small ones need none.
func TestUsualBodiesWaitForTheSpool(t *testing.T) {
	requests := make(chan int, 10) // lengths of the bodies at the upstream
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		requests <- int(n)
	})
	r := startFile(t, "[limits]\nmemory = \"32MiB\"\n"+services(map[string]string{"a": upstream}, "POST /pay -> a"))
	shared := r.d.shared
	if !shared.bodySpool.TryAcquire(shared.spoolSize) { // as other bodies do
		t.Fatal("the spool is in use")
	}
	usual := strings.Repeat("x", 60<<10)
	response, err := r.client.Post("http://"+r.address+"/pay", "", strings.NewReader(usual))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "1" {
		t.Errorf("a body for which there is no space got %s, Retry-After %q; want 503 and 1", response.Status, response.Header.Get("Retry-After"))
	}
	if status, text := r.request("POST", "/pay", "small"); status != http.StatusOK {
		t.Errorf("a small body got %d %q, want 200", status, text)
	}
	shared.bodySpool.Release(shared.spoolSize)
	if status, text := r.request("POST", "/pay", usual); status != http.StatusOK {
		t.Errorf("a body for which there is space again got %d %q, want 200", status, text)
	}
	base.Eventually(t, "a body that was answered takes no space any more", func() bool { return shared.bodySpool.TryAcquire(shared.spoolSize) })
	close(requests)
	var got []int
	for n := range requests {
		got = append(got, n)
	}
	if fmt.Sprint(got) != fmt.Sprint([]int{len("small"), len(usual)}) {
		t.Errorf("bodies of %v bytes reached the upstream, want the small one and the one that had space", got)
	}
}
