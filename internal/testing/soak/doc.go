// Package soak searches for breaks of the operators' rules with real processes: a script of faults is drawn from a seed, played to a small
// fleet of daemons before stand-ins of upstreams and of discovery, and what clients, upstreams and discovery saw is judged by a referee that
// uses nothing of the program's own code.
//
//   - script.go draws settings and steps; the same seed gives the same ones.
//   - record.go is what was seen; rulechecker.go judges it. Neither has I/O, so that the referee is tested with faults that are planted.
//   - fleet.go starts the processes and plays the steps, upstream.go and load.go are the upstreams and the clients.
//
// Only tests import it.
package soak
