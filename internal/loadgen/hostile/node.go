package hostile

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Sizes and times of the answers of a node.
const (
	largeAnswer  = 4 << 20
	longAnswer   = 96 << 10
	mediumAnswer = 60 << 10
	nodeWork     = 3 * time.Millisecond
)

// NewNode returns the server of an upstream for the shapes.
func NewNode() *http.Server {
	large, long, medium := strings.Repeat("l", largeAnswer), strings.Repeat("a", longAnswer), strings.Repeat("m", mediumAnswer)
	return &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(nodeWork)
		switch r.URL.Path {
		case LargeTarget:
			_, _ = io.WriteString(w, large)
		case LongTarget:
			_, _ = io.WriteString(w, long)
		case MediumTarget:
			_, _ = io.WriteString(w, medium)
		default:
			_, _ = io.WriteString(w, "ok")
		}
	})}
}
