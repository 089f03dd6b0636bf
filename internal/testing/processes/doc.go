// Package processes runs several processes of the program on one machine and injects faults between them. Tests of leases, hand-over and
// discovery use it. Only tests and measurements import it.
//
// A Rig builds the program once and starts Processes, each with its own directory. Processes reach each other through Links, which can drop
// or delay bytes, and can hang, cut or reset connections. Draw generates a script of faults from a seed without I/O, and Rig.Play runs it. A
// History records all actions and all log lines of the processes. Rig.Close kills every process by its pid. If the process that runs the rig
// dies, the kernel kills them.
package processes
