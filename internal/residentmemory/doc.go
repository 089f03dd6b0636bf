// Package residentmemory reads how much memory the process holds, and gives the pages of the program's file back to the system. Those pages
// are in the system's page cache whether the process maps them or not, but a limit on resident memory counts them.
package residentmemory
