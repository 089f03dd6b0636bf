package lease

import (
	"net/netip"
	"time"

	"orchiddrift/internal/units"
)

// The bounds that Declaration.Check sets.
const (
	maxNameBytes  = 200                  // length of a lease's and of a client's name, in bytes
	minTick       = 5 * time.Millisecond // raft heartbeat interval
	maxTick       = 10 * time.Second
	maxDrift      = 0.2       // relative error of a clock's rate
	maxMaxTasks   = 1000      // of MaxTasks
	maxMaxNames   = 1_000_000 // of MaxNames
	maxMaxWaiters = 100_000   // of MaxWaiters
)

// The sizes of a group. It survives the loss of fewer than half of its members.
const (
	trialGroup = 1
	smallGroup = 3
	largeGroup = 5
)

// Declaration is the [fleet] section of the operator's file: the group of processes that this one belongs to.
type Declaration struct {
	Name        string              `toml:"name" reload:"start" sample:"\"bookings\"" doc:"The fleet's name: who is of another one is turned away. Absent: there is no fleet, and no leases."`
	Member      string              `toml:"member" reload:"start" sample:"\"a\"" doc:"Which of the group's members this process is. Absent: none, it asks them."`
	Listen      string              `toml:"listen" reload:"start" sample:"\"127.0.0.1:7001\"" doc:"Where a member listens for the others and for clients: loopback only. Absent: at its address below."`
	File        string              `toml:"file" reload:"start" sample:"\"/var/lib/orchiddrift/fleet.db\"" doc:"A member's disk. One whose file is lost comes back as a new member."`
	Members     []MemberDeclaration `toml:"members" doc:"The group that keeps the record of leases: three or five, the same in every process."`
	Tick        units.Duration      `toml:"tick" default:"50ms" reload:"start" doc:"Between two heartbeats of the group's leader. One that is silent for ten of them is replaced."`
	MinDuration units.Duration      `toml:"shortest" default:"1s" reload:"start" doc:"A lease's term is no shorter."`
	MaxDuration units.Duration      `toml:"longest" default:"5m" reload:"start" doc:"And no longer."`
	Drift       float64             `toml:"drift" default:"0.01" reload:"start" doc:"How far the rate of any process's clock is from true time at most, as a part."`
	MaxNames    int                 `toml:"names" default:"10000" reload:"start" doc:"Leases held at once, at most: a new name is refused then."`
	MaxTasks    int                 `toml:"tasks" default:"2" reload:"start" doc:"Runs of [[task]] that this process takes at once, at most; 0: none."`
	MaxWaiters  int                 `toml:"waiters" default:"1000" reload:"start" doc:"Processes that wait for one lease, at most."`
}

// MemberDeclaration is a member of the raft group in the operator's file.
type MemberDeclaration struct {
	Name    string `toml:"name" sample:"\"a\"" doc:"The member's name."`
	Address string `toml:"address" sample:"\"127.0.0.1:7001\"" doc:"Where this process reaches it: IP address and port."`
}

// On reports whether there is a fleet.
func (d *Declaration) On() bool { return d.Name != "" }

// Limits returns the limits of the Table.
func (d *Declaration) Limits() Limits {
	return Limits{MaxNames: d.MaxNames, MaxWaiters: d.MaxWaiters, MaxNameBytes: maxNameBytes, MinDuration: d.MinDuration.D(), MaxDuration: d.MaxDuration.D()}
}

// Check implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if !d.On() {
		if d.Member != "" || len(d.Members) > 0 || d.File != "" || d.Listen != "" {
			report("name", "missing")
		}
		return
	}
	d.checkMembers(report)
	if d.Tick.D() < minTick || d.Tick.D() > maxTick {
		report("tick", "%v is not from %v to %v", d.Tick, minTick, maxTick)
	}
	if d.MinDuration <= 0 || d.MaxDuration < d.MinDuration {
		report("shortest", "terms from %v to %v", d.MinDuration, d.MaxDuration)
	}
	if !(d.Drift >= 0 && d.Drift <= maxDrift) { // false for NaN too
		report("drift", "%v is not from 0 to %v", d.Drift, maxDrift)
	}
	if d.MaxTasks < 0 || d.MaxTasks > maxMaxTasks {
		report("tasks", "%d is not from 0 to %d", d.MaxTasks, maxMaxTasks)
	}
	if d.MaxNames < 1 || d.MaxNames > maxMaxNames || d.MaxWaiters < 1 || d.MaxWaiters > maxMaxWaiters {
		report("names", "%d names with %d waiters each", d.MaxNames, d.MaxWaiters)
	}
}

// checkMembers checks the group and this process's place in it.
func (d *Declaration) checkMembers(report func(key, format string, args ...any)) {
	if n := len(d.Members); n != trialGroup && n != smallGroup && n != largeGroup {
		report("members", "%d; a group has 3 or 5 (1: for a look, without survival)", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range d.Members {
		if m.Name == "" || names[m.Name] {
			report("members", "item %d: the name %q is missing, or stands twice", i+1, m.Name)
		}
		if !isLoopback(m.Address) || addresses[m.Address] {
			report("members", "item %d: %q is no address on this machine (others need keys, which are not there yet), or stands twice", i+1, m.Address)
		}
		names[m.Name], addresses[m.Address] = true, true
	}
	if d.Member == "" {
		return
	}
	if !names[d.Member] {
		report("member", "%q is not one of members", d.Member)
	}
	if d.File == "" {
		report("file", "missing: a member votes, and has to know for what")
	}
	if d.Listen != "" && !isLoopback(d.Listen) {
		report("listen", "%q is no address on this machine", d.Listen)
	}
}

// isLoopback reports whether an address is an IP address and port on this machine alone.
func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}
