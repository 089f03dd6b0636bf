// Package experiment plays experiments in virtual time: a file describes a fleet, its load, faults over time and the
// policies to compare. internal/simulation/fleetsim simulates the fleet with the real balancer.
//
// LoadFile reads and validates an experiment. A Runner plays every policy with every seed and writes the results, one JSON
// line per run, so that an interrupted experiment can be resumed. Report and Compare turn results into tables and
// differences beyond chance. Results are equal to the byte for the same file and version.
package experiment
