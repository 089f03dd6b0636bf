// Package experiment runs load-balancing experiments in virtual time: a file describes a fleet, its load, its faults and
// the policies to compare. internal/simulation/fleetsim simulates the fleet with the real balancer.
//
// LoadFile reads and validates an experiment. A Runner runs every policy with every seed and writes the results, one JSON
// line per run, so that an interrupted experiment can be resumed. Report prints a table of results,
// and Compare finds statistically significant differences between two sets of them. The same experiment file and program
// version give byte-identical results.
package experiment
