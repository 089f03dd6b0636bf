package lease

import (
	"strings"
	"testing"
	"time"
)

// Only the holder of the current token can write a note. A note outlives the grant and is part of a snapshot. The number and length of
// notes are bounded.
func TestNotes(t *testing.T) {
	table := NewTable(Limits{MaxNames: 2, MaxWaiters: 2, MaxNameBytes: 100, MinDuration: 1, MaxDuration: time.Hour})
	apply := func(kind RequestKind, client string, token Token, value string) Reply {
		reply, _ := table.Apply(Request{Kind: kind, Name: "n", Client: client, Sequence: uint64(table.LastToken() + 1), Token: token, Value: value, Duration: time.Second})
		return reply
	}
	first := apply(Acquire, "a", 0, "").Token
	for _, c := range []struct {
		name  string
		reply Reply
		want  Status
		value string
	}{
		{"the holder writes", apply(WriteNote, "a", first, "one"), Done, "one"},
		{"another client", apply(WriteNote, "b", first, "two"), NotHeld, ""},
		{"another token", apply(WriteNote, "a", first+1, "two"), NotHeld, ""},
		{"too long", apply(WriteNote, "a", first, strings.Repeat("x", MaxNoteBytes+1)), TableFull, "one"},
		{"the lease is released", apply(Release, "a", first, ""), Done, ""},
		{"written after the release", apply(WriteNote, "a", first, "late"), NotHeld, ""},
		{"the next holder", apply(Acquire, "b", 0, ""), Granted, ""},
		{"the next holder reads", apply(ReadNote, "b", table.LastToken(), ""), Done, "one"},
		{"the first holder is still refused", apply(WriteNote, "a", first, "late"), NotHeld, ""},
	} {
		if c.reply.Status != c.want || c.reply.Value != c.value {
			t.Errorf("%s: wrong status or value in the reply %+v", c.name, c.reply)
		}
	}
	restored := NewTable(table.limits)
	restored.Restore(table.LastToken(), table.List())
	restored.RestoreNotes(table.Notes())
	if reply, _ := restored.Apply(Request{Kind: ReadNote, Name: "n", Client: "b", Token: table.LastToken()}); reply.Value != "one" {
		t.Errorf("reading the note from a restored Table: got the reply %+v, want one with the note's text \"one\"", reply)
	}
	for _, name := range []string{"o", "p"} {
		table.Apply(Request{Kind: Release, Name: "n", Client: "b", Token: table.LastToken()})
		reply, _ := table.Apply(Request{Kind: Acquire, Name: name, Client: "c", Sequence: 9, Duration: time.Second})
		reply, _ = table.Apply(Request{Kind: WriteNote, Name: name, Client: "c", Token: reply.Token, Value: "x"})
		if want := map[string]Status{"o": Done, "p": TableFull}[name]; reply.Status != want {
			t.Errorf("writing the note of lease %s while one other note is stored: wrong status in the reply %+v", name, reply)
		}
	}
	if reply := apply(WriteNote, "b", table.LastToken(), ""); reply.Status == Done {
		t.Errorf("a note was written for a name that is free: %+v", reply)
	}
}
