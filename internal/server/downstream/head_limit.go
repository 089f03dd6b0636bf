package downstream

import (
	"context"
	"fmt"
	"net/http"

	"orchiddrift/internal/server/framing"
)

// cutHeadField is the name of a field that is added to a head that was cut, so that the request is distinguished from those before it on its
// connection, which may still be in flight. It counts only on a connection on which a head was cut.
const cutHeadField = "Orchiddrift-Cut-Head"

// discardBytes is the size of one read whose bytes are discarded.
const discardBytes = 512

// cutHead ends a head that has too many fields, before net/http has parsed more of it: its fields take many times their length. The request
// is rejected by its turn on the connection, see HeadRejection.
func (c *conn) cutHead() {
	c.headEnd = []byte(cutHeadField + ": 1\r\n\r\n")
	c.headCut.Store(true)
}

// discard reads until the connection ends or its read deadline has passed, and returns the error.
func (c *conn) discard() error {
	var buffer [discardBytes]byte
	for {
		if _, err := c.readClient(buffer[:]); err != nil {
			return err
		}
	}
}

// HeadRejection returns the rejection of a request whose head had too many fields, or nil. The connection has to be closed after the answer.
func HeadRejection(ctx context.Context, header http.Header) *Rejection {
	c, ok := connFrom(ctx)
	if !ok || !c.headCut.Load() || len(header[cutHeadField]) == 0 {
		return nil
	}
	return &Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: fmt.Sprintf("the head has more than %d fields", framing.MaxHeadFields)}
}
