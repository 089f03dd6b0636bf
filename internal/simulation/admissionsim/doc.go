// Package admissionsim plays requests through a door, the real balancer and modelled nodes in virtual time: what a discipline
// or a limit does to principals, to answers in time and to refusals that come back, at loads that sockets make noisy. The
// same seed gives the same run.
package admissionsim
