package upstream

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
)

// Guards against pieces of a body that are lost, repeated or reordered: the pieces that one attempt has not read go to the next attempt.
// Guards also against a client that stays blocked in its write because Drain does not read the rest, and against an End that waits for a
// client that sends nothing.
func TestPump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := io.Pipe()
		body := bytes.Repeat([]byte("0123456789abcdef"), 3*uploadPieceBytes/16)
		wrote := make(chan error, 1)
		upload := &Upload{Body: from, pump: newBodyPump(), Interrupt: func() { from.CloseWithError(errors.New("interrupted")) }}
		stopped := make(chan struct{})
		close(stopped)
		if _, err := upload.pump.next(upload.Body, false, stopped); err != errUploadStopped {
			t.Errorf("next of a stopped attempt returned %v, want errUploadStopped", err)
		}
		go func() {
			_, err := to.Write(body)
			wrote <- err
		}()
		var got []byte
		for i := range 2 {
			b, err := upload.pump.next(upload.Body, i > 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, b...)
		}
		if !bytes.Equal(got, body[:2*uploadPieceBytes]) {
			t.Errorf("the %d bytes read differ from those that were written", len(got))
		}
		drained := make(chan struct{})
		go func() {
			upload.Drain()
			close(drained)
		}()
		if err := <-wrote; err != nil {
			t.Error(err)
		}
		synctest.Wait()
		upload.End() // the source is open, but sends nothing
		upload.End()
		<-drained
		if _, err := upload.pump.next(upload.Body, false, nil); err != errBodyPumpEnded {
			t.Errorf("next after End returned %v, want errBodyPumpEnded", err)
		}
	})
}

// Guards against an attempt that does not see the end of an empty body, and against reading a body that no attempt has requested.
func TestPumpEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upload := &Upload{Body: bytes.NewReader(nil), pump: newBodyPump()}
		for range 2 {
			if _, err := upload.pump.next(upload.Body, false, nil); err != io.EOF {
				t.Error(err)
			}
		}
		upload.End()
		unread := &Upload{Body: bytes.NewReader([]byte("x")), pump: newBodyPump(), Interrupt: func() { t.Error("End interrupted the source although no read was pending") }}
		unread.Drain()
		unread.End()
		if _, err := unread.pump.next(unread.Body, false, nil); err != errBodyPumpEnded {
			t.Error(err)
		}
	})
}
