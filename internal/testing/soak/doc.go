// Package soak is a randomized fault test with real processes. It draws a script of faults from a seed, runs it on a small fleet of daemons with
// fake upstreams and a fake discovery service, and checks the observations of clients, upstreams and discovery against the operators' rules. The
// rule checker shares no code with the program under test.
//
//   - script.go draws settings and steps. The same seed always gives the same script.
//   - record.go holds the observations, and rulechecker.go checks them. Neither does I/O, so that tests of the checker can pass it made-up records.
//   - fleet.go starts the processes and runs the steps. upstream.go is the fake upstream; load.go and connections.go are the clients.
//
// Only tests import this package.
package soak
