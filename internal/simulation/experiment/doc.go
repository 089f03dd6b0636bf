// Package experiment runs load-balancing experiments in virtual time. A file describes a fleet, its load, its faults and
// the policies to compare. internal/simulation/fleetsim simulates the fleet with the real balancer.
//
// LoadFile reads and validates an experiment. A Runner runs every policy with every seed. It writes one line of JSON per
// run, so that an interrupted experiment can be resumed. Report prints a table of the results, and Compare finds
// statistically significant differences between two sets of results. The same experiment file and program version give
// byte-identical results.
package experiment
