package upstream

import (
	"cmp"
	"errors"
	"io"
	"sync"
)

var errBodyPumpEnded = errors.New("reading of the request body has ended")

// bodyPump reads a client's body on its own goroutine, one piece at a time: it reads the next piece once the previous one has been
// consumed. If an attempt ends while the client sends nothing, the next attempt takes over the pending read. Interrupting the read instead
// would end the request: net/http cancels a request's context on any read error (connReader.handleReadErrorLocked), and a chunked body
// cannot be read after a read error.
type bodyPump struct {
	startOnce  sync.Once
	endOnce    sync.Once
	pieceBytes int // size of the largest piece; 0 stands for MaxPieceBytes
	pieces     chan []byte
	consumed   chan struct{} // receives once the piece that was handed out has been consumed
	ending     chan struct{} // closed by end
	done       chan struct{} // closed once the goroutine has ended; err is set by then
	err        error
}

func newBodyPump() *bodyPump {
	return &bodyPump{pieces: make(chan []byte), consumed: make(chan struct{}), ending: make(chan struct{}), done: make(chan struct{})}
}

// run reads until the body ends, a read fails, or end is called.
func (p *bodyPump) run(from io.Reader) {
	defer close(p.done)
	buffer := make([]byte, cmp.Or(p.pieceBytes, MaxPieceBytes))
	for p.err == nil {
		n, err := from.Read(buffer)
		if n > 0 && !p.offer(buffer[:n]) {
			err = errBodyPumpEnded
		}
		select {
		case <-p.ending: // the read may have been interrupted
			p.err = errBodyPumpEnded
		default:
			p.err = err
		}
	}
}

// skip takes the place of run if the body has not been read at all.
func (p *bodyPump) skip() {
	p.err = errBodyPumpEnded
	close(p.done)
}

// offer hands out a piece and waits until it has been consumed. It returns false if end is called first.
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

// next waits for a piece of the body, and returns errUploadStopped if stop is closed first. The caller may use the piece until it calls
// next again. Only one goroutine at a time may call next. The parameter again says that the caller has consumed the previous piece.
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
	case <-stop: // checked first: a piece that is taken now would be lost
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

// drain reads and discards the rest of the body, until the body ends or a read fails.
func (p *bodyPump) drain() {
	p.startOnce.Do(p.skip)
	for {
		select {
		case p.consumed <- struct{}{}: // for a piece that an attempt has received without confirming that it was consumed
		case <-p.pieces:
		case <-p.done:
			return
		}
	}
}

// end ends the pump and returns once no read is in progress. It calls interrupt, unless nil, to make a pending read return.
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
