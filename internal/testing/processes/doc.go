// Package processes runs several processes of the program on one machine and injects faults between them. Tests of leases, hand-over and
// discovery use it; only tests and measurements import it.
//
// A Rig builds the program once and starts Processes, each with a directory of its own. Processes reach each other through Links, which drop
// and delay bytes, and hang, cut and reset connections. Draw generates a script of faults from a seed without I/O, and Rig.Play runs it. One
// History records all actions and all log lines of the processes. Close kills every process by its pid; the kernel kills them if the process
// that runs the rig dies.
package processes
