package upstream

import (
	"errors"
	"io"
	"sync"
)

var errBodyUnwanted = errors.New("nothing more of the body is wanted")

// bodyPump reads a client's body on a goroutine of its own, one piece at a time: the next piece is read once the one before has been
// consumed. An attempt that ends while the client is silent leaves the pending read to the next attempt. Interrupting the read instead
// would end the request: net/http cancels a request's context on any read error (connReader.handleReadErrorLocked), and a chunked body
// cannot be read after one.
type bodyPump struct {
	startOnce sync.Once
	endOnce   sync.Once
	pieces    chan []byte
	consumed  chan struct{} // a receiver is done with its piece
	ending    chan struct{} // closed by end
	done      chan struct{} // closed once the goroutine has ended; err is set by then
	err       error
}

func newBodyPump() *bodyPump {
	return &bodyPump{pieces: make(chan []byte), consumed: make(chan struct{}), ending: make(chan struct{}), done: make(chan struct{})}
}

// run reads until the body ends, fails or is no longer wanted.
func (p *bodyPump) run(from io.Reader) {
	defer close(p.done)
	buffer := make([]byte, uploadPieceBytes)
	for p.err == nil {
		n, err := from.Read(buffer)
		if n > 0 && !p.offer(buffer[:n]) {
			err = errBodyUnwanted
		}
		select {
		case <-p.ending: // the read may have been interrupted
			p.err = errBodyUnwanted
		default:
			p.err = err
		}
	}
}

// skip takes the place of run where nothing was ever read.
func (p *bodyPump) skip() {
	p.err = errBodyUnwanted
	close(p.done)
}

// offer hands out a piece and waits until it has been consumed. It returns false once the pump is ending.
func (p *bodyPump) offer(piece []byte) bool {
	select {
	case p.pieces <- piece:
	case <-p.ending:
		return false
	}
	select {
	case <-p.consumed:
	case <-p.ending:
		return false
	}
	return true
}

// next waits for a piece, which belongs to the caller until it calls next again, or until stop is closed. It is called by one goroutine
// at a time. again says that the caller has consumed the piece before.
func (p *bodyPump) next(from io.Reader, again bool, stop <-chan struct{}) ([]byte, error) {
	p.startOnce.Do(func() { go p.run(from) })
	if again {
		select {
		case p.consumed <- struct{}{}:
		case <-p.done:
			return nil, p.err
		}
	}
	select {
	case <-stop: // before a piece is taken for nothing
		return nil, errUploadStopped
	default:
	}
	select {
	case piece := <-p.pieces:
		return piece, nil
	case <-p.done:
		return nil, p.err
	case <-stop:
		return nil, errUploadStopped
	}
}

// drain reads and drops the rest, until the body ends or cannot be read.
func (p *bodyPump) drain() {
	p.startOnce.Do(p.skip)
	for {
		select {
		case p.consumed <- struct{}{}: // of a piece that an attempt has left
		case <-p.pieces:
		case <-p.done:
			return
		}
	}
}

// end ends the pump and returns once nothing is read any more; interrupt makes a pending read return.
func (p *bodyPump) end(interrupt func()) {
	p.startOnce.Do(p.skip)
	p.endOnce.Do(func() { close(p.ending) })
	select {
	case <-p.done:
		return
	default:
	}
	if interrupt != nil {
		interrupt()
	}
	<-p.done
}
