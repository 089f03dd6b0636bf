package upstream

import (
	"errors"
	"io"
	"sync"
)

// bodyPump reads the rest of a body on a goroutine of its own, a piece at a time: the next one is read once the one before has been used.
// An attempt that ends while the client says nothing leaves the wait to the next attempt. To break off the read instead would end the
// request: net/http cancels its context on any error of a read (connReader.handleReadErrorLocked), and reads of chunks fail for good.
type bodyPump struct {
	startOnce sync.Once
	endOnce   sync.Once
	pieces    chan []byte
	consumed  chan struct{}
	ending    chan struct{} // closed by end
	done      chan struct{} // closed once the goroutine has ended; then err stands
	err       error
}

var errBodyUnwanted = errors.New("nothing more of the body is wanted")

func newBodyPump() *bodyPump {
	return &bodyPump{pieces: make(chan []byte), consumed: make(chan struct{}), ending: make(chan struct{}), done: make(chan struct{})}
}

func (p *bodyPump) run(from io.Reader) {
	defer close(p.done)
	buffer := make([]byte, uploadPieceBytes)
	for p.err == nil {
		n, err := from.Read(buffer)
		if n > 0 && !p.offer(buffer[:n]) {
			err = errBodyUnwanted
		}
		select {
		case <-p.ending: // it may have been interrupted
			p.err = errBodyUnwanted
		default:
			p.err = err
		}
	}
}

// skip stands for the goroutine where nothing was read.
func (p *bodyPump) skip() {
	p.err = errBodyUnwanted
	close(p.done)
}

// offer gives a piece to whoever takes it, and waits until it has been used.
func (p *bodyPump) offer(b []byte) bool {
	select {
	case p.pieces <- b:
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

// next waits for a piece, which is the caller's until it calls next again, or stop. One caller at a time; again tells that it has
// used the piece before.
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
	case <-stop: // before a piece is taken in vain
		return nil, errUploadStopped
	default:
	}
	select {
	case b := <-p.pieces:
		return b, nil
	case <-p.done:
		return nil, p.err
	case <-stop:
		return nil, errUploadStopped
	}
}

// drain reads on without use, until the body ends or can't be read.
func (p *bodyPump) drain() {
	p.startOnce.Do(p.skip)
	for {
		select {
		case p.consumed <- struct{}{}: // of a piece that an attempt left
		case <-p.pieces:
		case <-p.done:
			return
		}
	}
}

// end ends it, and returns once nothing is read any more; interrupt has a read that waits return.
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
