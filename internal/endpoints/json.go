package endpoints

import (
	"encoding/json"

	"orchiddrift/balancer"
)

// listMessage is the form in which a List is decoded. It distinguishes a cell with number 0 from one that is missing.
type listMessage struct {
	Index     *int64            `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []endpointMessage `json:"endpoints"`
}

// endpointMessage is the form in which an Endpoint is decoded. Its Cell hides that of Endpoint.
type endpointMessage struct {
	Endpoint
	Cell optionalCell `json:"group"`
}

// optionalCell is the number of a cell, or no number if the message does not have one.
type optionalCell struct {
	number  int
	isKnown bool
}

// UnmarshalJSON is called only if the message has the field.
func (c *optionalCell) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	c.isKnown = true
	return json.Unmarshal(text, &c.number)
}

// UnmarshalJSON decodes a list. An endpoint without a cell gets balancer.UnknownCell.
func (l *List) UnmarshalJSON(text []byte) error {
	var message listMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return err
	}
	*l = List{Index: message.Index, Snapshot: message.Snapshot}
	if message.Endpoints != nil {
		l.Endpoints = make([]Endpoint, len(message.Endpoints))
	}
	for i := range message.Endpoints {
		m := &message.Endpoints[i]
		l.Endpoints[i] = m.Endpoint
		l.Endpoints[i].Cell = balancer.UnknownCell
		if m.Cell.isKnown {
			l.Endpoints[i].Cell = m.Cell.number
		}
	}
	return nil
}
