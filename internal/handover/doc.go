// Package handover passes what a process has to its successor in a binary upgrade: the clients' listening socket, and a snapshot of its
// state. Both processes are of one sidecar, of one user and on one machine. Package daemon drives both ends.
//
// The predecessor listens on a Unix socket (Listen, Offer.Next), the successor connects to it (Request). Their messages:
//
//	successor                          predecessor
//	    | -- Hello (Identity, JSON) ---------> |
//	    | <- Welcome (State, JSON; socket) --- |   the socket comes with the first byte, as SCM_RIGHTS
//	    | -- Ready --------------------------> |   the successor serves
//	    | <- DescriptorsHeld ----------------- |   repeatedly, while the predecessor finishes its requests
//	    | <- Drain, Undrain -----------------> |   an operator's call to either process, executed by both
//
// frame.go frames messages and state.go encodes and validates the state, both without I/O. link.go, request.go and offer.go carry them.
package handover
