// Package processes runs many processes of the program beside each other and puts faults between them: it is what the tests of leases,
// takeover and spread stand on. Only tests and measurements import it.
//
// A Rig builds the program once and starts Processes, each with a directory of its own. Whatever one of them says to another goes through
// a Link, which drops, delays, hangs, cuts and resets what it carries. A Script is what is done when, drawn from a seed (Draw, free of I/O)
// and played by Rig.Play. All that is done, and each line that a process writes, is one History. Close ends every process by its pid; the
// kernel ends them where the rig's own process dies.
package processes
