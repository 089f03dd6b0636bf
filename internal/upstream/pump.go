package upstream

import (
	"errors"
	"io"
	"sync"
)

// pump reads the rest of a body on a goroutine of its own, a piece at a time: the next one is read once the one before has been used.
// An attempt that ends while the client says nothing leaves the wait to the next attempt. To break off the read instead would end the
// request: net/http cancels its context on any error of a read (connReader.handleReadErrorLocked), and reads of chunks fail for good.
type pump struct {
	begin  sync.Once
	finish sync.Once
	pieces chan []byte
	used   chan struct{}
	over   chan struct{} // closed by end
	done   chan struct{} // closed once the goroutine has ended; then err stands
	err    error
}

var errOver = errors.New("nothing more of the body is wanted")

func newPump() *pump {
	return &pump{pieces: make(chan []byte), used: make(chan struct{}), over: make(chan struct{}), done: make(chan struct{})}
}

func (p *pump) run(from io.Reader) {
	defer close(p.done)
	buffer := make([]byte, uploadPiece)
	for p.err == nil {
		n, err := from.Read(buffer)
		if n > 0 && !p.hand(buffer[:n]) {
			err = errOver
		}
		select {
		case <-p.over: // it may have been interrupted
			p.err = errOver
		default:
			p.err = err
		}
	}
}

// never stands for the goroutine where nothing was read.
func (p *pump) never() {
	p.err = errOver
	close(p.done)
}

// hand gives a piece to whoever takes it, and waits until it has been used.
func (p *pump) hand(b []byte) bool {
	select {
	case p.pieces <- b:
	case <-p.over:
		return false
	}
	select {
	case <-p.used:
	case <-p.over:
		return false
	}
	return true
}

// next waits for a piece, which is the caller's until it calls next again, or stop. One caller at a time; again tells that it has
// used the piece before.
func (p *pump) next(from io.Reader, again bool, stop <-chan struct{}) ([]byte, error) {
	p.begin.Do(func() { go p.run(from) })
	if again {
		select {
		case p.used <- struct{}{}:
		case <-p.done:
			return nil, p.err
		}
	}
	select {
	case <-stop: // before a piece is taken in vain
		return nil, errStopped
	default:
	}
	select {
	case b := <-p.pieces:
		return b, nil
	case <-p.done:
		return nil, p.err
	case <-stop:
		return nil, errStopped
	}
}

// drain reads on without use, until the body ends or can't be read.
func (p *pump) drain() {
	p.begin.Do(p.never)
	for {
		select {
		case p.used <- struct{}{}: // of a piece that an attempt left
		case <-p.pieces:
		case <-p.done:
			return
		}
	}
}

// end ends it, and returns once nothing is read any more; interrupt has a read that waits return.
func (p *pump) end(interrupt func()) {
	p.begin.Do(p.never)
	p.finish.Do(func() { close(p.over) })
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
