package upstream

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
)

// What an attempt did not take stays for the next one, in its order, and none of it comes twice; a drain takes what is left, so that
// whoever writes is not held up; the end comes back though the source says nothing.
func TestPump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := io.Pipe()
		body := bytes.Repeat([]byte("0123456789abcdef"), 3*uploadPieceBytes/16)
		wrote := make(chan error, 1)
		u := &Upload{Body: from, pump: newBodyPump(), Interrupt: func() { from.CloseWithError(errors.New("interrupted")) }}
		off := make(chan struct{})
		close(off)
		if _, err := u.pump.next(u.Body, false, off); err != errUploadStopped {
			t.Errorf("an attempt that is over gets %v", err)
		}
		go func() {
			_, err := to.Write(body)
			wrote <- err
		}()
		var got []byte
		for i := range 2 {
			b, err := u.pump.next(u.Body, i > 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, b...)
		}
		if !bytes.Equal(got, body[:2*uploadPieceBytes]) {
			t.Errorf("%d bytes, others than were written", len(got))
		}
		drained := make(chan struct{})
		go func() {
			u.Drain()
			close(drained)
		}()
		if err := <-wrote; err != nil {
			t.Error(err)
		}
		synctest.Wait()
		u.End() // the source is open, and silent
		u.End()
		<-drained
		if _, err := u.pump.next(u.Body, false, nil); err != errBodyPumpEnded {
			t.Errorf("after the end: %v", err)
		}
	})
}

// A source that ends without a byte ends each attempt that asks, and one that nobody asked is never read.
func TestPumpEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &Upload{Body: bytes.NewReader(nil), pump: newBodyPump()}
		for range 2 {
			if _, err := u.pump.next(u.Body, false, nil); err != io.EOF {
				t.Error(err)
			}
		}
		u.End()
		unread := &Upload{Body: bytes.NewReader([]byte("x")), pump: newBodyPump(), Interrupt: func() { t.Error("interrupted though nothing is read") }}
		unread.Drain()
		unread.End()
		if _, err := unread.pump.next(unread.Body, false, nil); err != errBodyPumpEnded {
			t.Error(err)
		}
	})
}
