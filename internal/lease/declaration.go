package lease

import (
	"net/netip"
	"time"

	"orchiddrift/internal/units"
)

// The bounds that Declaration.Check enforces.
const (
	maxNameBytes  = 200                  // largest length of a lease's or a client's name, in bytes
	minTick       = 5 * time.Millisecond // shortest raft heartbeat interval
	maxTick       = 10 * time.Second
	maxDrift      = 0.2       // largest relative error of a clock's rate
	maxMaxTasks   = 1000      // largest MaxTasks
	maxMaxNames   = 1_000_000 // largest MaxNames
	maxMaxWaiters = 100_000   // largest MaxWaiters
)

// The allowed numbers of members of a group. A group survives the loss of fewer than half of its members.
const (
	trialGroup = 1
	smallGroup = 3
	largeGroup = 5
)

// Declaration is the [fleet] section of the operator's configuration file: the group of processes that this process belongs to.
type Declaration struct {
	Name        string              `toml:"name" reload:"start" sample:"\"bookings\"" doc:"The fleet's name. Processes of another fleet are rejected. Absent: there is no fleet, and there are no leases."`
	Member      string              `toml:"member" reload:"start" sample:"\"a\"" doc:"Which of the group's members this process is. Absent: it is not a member and sends its requests to the members."`
	Listen      string              `toml:"listen" reload:"start" sample:"\"127.0.0.1:7001\"" doc:"The address at which a member listens for the other members and for clients: loopback only. Absent: the member's address in members."`
	File        string              `toml:"file" reload:"start" sample:"\"/var/lib/orchiddrift/fleet.db\"" doc:"The file in which a member stores its data. A member whose file is lost rejoins as a new member."`
	Members     []MemberDeclaration `toml:"members" doc:"The group that keeps the record of leases: three or five members, the same in every process."`
	Tick        units.Duration      `toml:"tick" default:"50ms" reload:"start" doc:"The time between two heartbeats of the group's leader. A leader that is silent for ten heartbeats is replaced."`
	MinDuration units.Duration      `toml:"shortest" default:"1s" reload:"start" doc:"The shortest duration of a lease. A request for a shorter one gets this duration."`
	MaxDuration units.Duration      `toml:"longest" default:"5m" reload:"start" doc:"The longest duration of a lease. A request for a longer one gets this duration."`
	Drift       float64             `toml:"drift" default:"0.01" reload:"start" doc:"The largest relative error of the clock rate of any process, as a fraction."`
	MaxNames    int                 `toml:"names" default:"10000" reload:"start" doc:"The largest number of leases held at once. A request for another name is then rejected."`
	MaxTasks    int                 `toml:"tasks" default:"2" reload:"start" doc:"The largest number of [[task]] runs that this process executes at once. If it is 0, this process executes none."`
	MaxWaiters  int                 `toml:"waiters" default:"1000" reload:"start" doc:"The largest number of processes that wait for one lease."`
}

// MemberDeclaration is a member of the raft group in the operator's configuration file.
type MemberDeclaration struct {
	Name    string `toml:"name" sample:"\"a\"" doc:"The member's name."`
	Address string `toml:"address" sample:"\"127.0.0.1:7001\"" doc:"The IP address and port at which this process reaches the member."`
}

// On reports whether the configuration file declares a fleet. A fleet must have a name.
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
		report("shortest", "lease durations from %v to %v: the shortest must be positive and no longer than the longest", d.MinDuration, d.MaxDuration)
	}
	if !(d.Drift >= 0 && d.Drift <= maxDrift) { // written so that NaN is reported too
		report("drift", "%v is not from 0 to %v", d.Drift, maxDrift)
	}
	if d.MaxTasks < 0 || d.MaxTasks > maxMaxTasks {
		report("tasks", "%d is not from 0 to %d", d.MaxTasks, maxMaxTasks)
	}
	if d.MaxNames < 1 || d.MaxNames > maxMaxNames || d.MaxWaiters < 1 || d.MaxWaiters > maxMaxWaiters {
		report("names", "%d names with %d waiters each: a number is out of range", d.MaxNames, d.MaxWaiters)
	}
}

// checkMembers checks the members of the group and the settings of this process as one of them.
func (d *Declaration) checkMembers(report func(key, format string, args ...any)) {
	if n := len(d.Members); n != trialGroup && n != smallGroup && n != largeGroup {
		report("members", "%d; a group has 3 or 5 members (or 1 for trials, which does not survive the loss of its member)", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range d.Members {
		if m.Name == "" || names[m.Name] {
			report("members", "item %d: the name %q is empty, or another member has it too", i+1, m.Name)
		}
		if !isLoopback(m.Address) || addresses[m.Address] {
			report("members", "item %d: %q is not a loopback IP address and port (other machines would need keys, which are not supported yet), or another member has it too", i+1, m.Address)
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
		report("file", "missing: a member has to store its votes on disk")
	}
	if d.Listen != "" && !isLoopback(d.Listen) {
		report("listen", "%q is not a loopback IP address and port", d.Listen)
	}
}

// isLoopback reports whether an address is a loopback IP address and port.
func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}
