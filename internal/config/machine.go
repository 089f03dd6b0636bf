package config

import "runtime"

// Machine holds the properties of a machine on which the defaults of an operator's file depend: equal files have equal plans on equal
// machines.
type Machine struct {
	Cores int // processor cores that the process may use
}

// ThisMachine returns the machine that the process runs on.
func ThisMachine() Machine { return Machine{Cores: runtime.NumCPU()} }
