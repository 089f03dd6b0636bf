package lease

import (
	"net/netip"
	"time"

	"orchiddrift/internal/units"
)

// Declaration is the operator's file's part on the fleet that a process belongs to.
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

// MemberDeclaration is one of the group's members.
type MemberDeclaration struct {
	Name    string `toml:"name" sample:"\"a\"" doc:"The member's name."`
	Address string `toml:"address" sample:"\"127.0.0.1:7001\"" doc:"Where this process reaches it: IP address and port."`
}

// On tells whether there is a fleet.
func (d *Declaration) On() bool { return d.Name != "" }

// Limits are the record's.
func (d *Declaration) Limits() Limits {
	return Limits{MaxNames: d.MaxNames, MaxWaiters: d.MaxWaiters, MaxNameBytes: maxNameBytes, MinDuration: d.MinDuration.D(), MaxDuration: d.MaxDuration.D()}
}

// maxNameBytes bounds names of leases and clients, in bytes.
const maxNameBytes = 200

// Check is tomlfile.Checker's.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if !d.On() {
		if d.Member != "" || len(d.Members) > 0 || d.File != "" || d.Listen != "" {
			report("name", "missing")
		}
		return
	}
	if n := len(d.Members); n != 1 && n != 3 && n != 5 {
		report("members", "%d; a group has 3 or 5 (1: for a look, without survival)", n)
	}
	names, addresses, mine := map[string]bool{}, map[string]bool{}, false
	for i, m := range d.Members {
		if m.Name == "" || names[m.Name] {
			report("members", "item %d: the name %q is missing, or stands twice", i+1, m.Name)
		}
		if !isLoopback(m.Address) || addresses[m.Address] {
			report("members", "item %d: %q is no address on this machine (others need keys, which are not there yet), or stands twice", i+1, m.Address)
		}
		names[m.Name], addresses[m.Address] = true, true
		mine = mine || m.Name == d.Member
	}
	if d.Member != "" {
		if !mine {
			report("member", "%q is not one of members", d.Member)
		}
		if d.File == "" {
			report("file", "missing: a member votes, and has to know for what")
		}
		if d.Listen != "" && !isLoopback(d.Listen) {
			report("listen", "%q is no address on this machine", d.Listen)
		}
	}
	if d.Tick.D() < 5*time.Millisecond || d.Tick.D() > 10*time.Second {
		report("tick", "%v is not from 5ms to 10s", d.Tick)
	}
	if d.MinDuration <= 0 || d.MaxDuration < d.MinDuration {
		report("shortest", "terms from %v to %v", d.MinDuration, d.MaxDuration)
	}
	if !(d.Drift >= 0 && d.Drift <= 0.2) {
		report("drift", "%v is not from 0 to 0.2", d.Drift)
	}
	if d.MaxTasks < 0 || d.MaxTasks > 1000 {
		report("tasks", "%d is not from 0 to 1000", d.MaxTasks)
	}
	if d.MaxNames < 1 || d.MaxNames > 1_000_000 || d.MaxWaiters < 1 || d.MaxWaiters > 100_000 {
		report("names", "%d names with %d waiters each", d.MaxNames, d.MaxWaiters)
	}
}

func isLoopback(address string) bool {
	at, err := netip.ParseAddrPort(address)
	return err == nil && at.Addr().IsLoopback()
}
