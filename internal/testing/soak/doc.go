// Package soak is a randomized fault test with real processes: it draws a script of faults from a seed, plays it on a small fleet of daemons with
// fake upstreams and a fake discovery, and checks what clients, upstreams and discovery recorded against the operators' rules. The rule checker
// uses no code of the program.
//
//   - script.go draws settings and steps; the same seed gives the same ones.
//   - record.go holds the observations, rulechecker.go checks them. Neither has I/O, so that the checker is tested with planted faults.
//   - fleet.go starts the processes and plays the steps; upstream.go and load.go are the upstreams and the clients.
//
// Only tests import it.
package soak
