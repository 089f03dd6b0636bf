package raftgroup

import "errors"

// Errors. The texts of those that a member answers with are sent to the caller.
var (
	// ErrNoLeader is returned where no leader can answer: this member does not lead, is overloaded, or has ended.
	ErrNoLeader = errors.New("the group has no leader that could answer")
	// ErrOtherFleet is returned for a file that belongs to another fleet.
	ErrOtherFleet = errors.New("the file is of another fleet")
	// ErrNotAMember is returned for a name that the operator's file does not list.
	ErrNotAMember = errors.New("is not one of the group's members")
	// ErrCorrupted is returned where the pages of a file are damaged.
	ErrCorrupted = errors.New("the file is damaged")
	// errRemovalProposed answers a join: the earlier member of the same name is removed first.
	errRemovalProposed = errors.New("the one of its name is taken out first")
	// errAdditionProposed answers a join: the conf change that adds the member was proposed.
	errAdditionProposed = errors.New("it is being taken in")
)
