package raftgroup

import "errors"

// Errors of a member and its storage. A member sends the texts of ErrNoLeader, ErrNotAMember, errRemovalProposed and errAdditionProposed to
// other processes.
var (
	// ErrNoLeader is returned when no leader can answer: this member does not lead, is overloaded, or has ended.
	ErrNoLeader = errors.New("the group has no leader that could answer")
	// ErrOtherFleet is returned for a file that belongs to another fleet.
	ErrOtherFleet = errors.New("the file belongs to another fleet")
	// ErrNotAMember is returned for a name that the configuration file does not list as a member.
	ErrNotAMember = errors.New("is not one of the group's members")
	// ErrCorrupted is returned when pages of a storage file are damaged.
	ErrCorrupted = errors.New("the file is damaged")
	// errRemovalProposed answers a join request when the leader has proposed to remove the earlier member of the same name first.
	errRemovalProposed = errors.New("the one of its name is taken out first")
	// errAdditionProposed answers a join request when the leader has proposed to add the member.
	errAdditionProposed = errors.New("it is being taken in")
)
