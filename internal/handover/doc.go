// Package handover passes two things from a process to its successor in a binary upgrade: the socket on which it listens for clients, and a
// snapshot of its state. Both processes belong to one sidecar and one user and run on one machine. Package daemon drives both ends.
//
// The predecessor listens on a Unix socket (Listen, Offer.Next), the successor connects to it (Request). Their messages:
//
//	successor                          predecessor
//	    | -- Hello (Identity, JSON) ---------> |
//	    | <- Welcome (State, JSON; socket) --- |   the socket comes with the first byte, as SCM_RIGHTS
//	    | -- Ready --------------------------> |   the successor serves
//	    | <- DescriptorsHeld ----------------- |   repeatedly, while the predecessor completes its requests
//	    | <- Drain, Undrain -----------------> |   an operator's request to either process, carried out by both
//	    | <- KeyQuery, KeyReply -------------> |   a key that one of them does not know, if both understand these messages
//	    | <- KeyRecord ----------------------- |   the keys that the predecessor knows, and how the requests of others end
//
// frame.go encodes messages, and state.go encodes and validates the state; neither opens connections. link.go, request.go and offer.go
// exchange messages over the Unix socket.
package handover
