// Package processes runs several processes of the program side by side and injects faults between them. Tests of leases, hand-over and
// discovery use it; only tests and measurements import it.
//
// A Rig builds the program once and starts Processes, each with a directory of its own. Processes reach each other through Links, which drop,
// delay, hang, cut and reset what they carry. Draw makes a script of faults from a seed without I/O, and Rig.Play runs it. All actions and all
// lines that processes log are in one History. Close kills every process by its pid; the kernel kills them if the rig's process dies.
package processes
