package lease

import "maps"

// MaxNoteBytes is the largest length of a note, in bytes. The Table keeps at most Limits.MaxNames notes.
const MaxNoteBytes = 512

// applyNote writes or reads the note of a name. Only the holder of the current token may do so. Requests are applied in the order of the log, so a
// holder that was replaced is rejected even if its own clock says that its grant is still valid.
func (t *Table) applyNote(request Request, entry *Entry) Reply {
	if !entry.isHeldBy(request.Client, request.Token) {
		return request.Reply(NotHeld)
	}
	old, exists := t.notes[request.Name]
	switch {
	case request.Kind == ReadNote:
	case request.Value == "":
		delete(t.notes, request.Name)
	case len(request.Value) > MaxNoteBytes || !exists && len(t.notes) >= t.limits.MaxNames:
		reply := request.Reply(TableFull)
		reply.Value = old
		return reply
	default:
		t.notes[request.Name] = request.Value
	}
	reply := request.Reply(Done)
	reply.Token, reply.Holder, reply.Value = entry.Token, entry.Holder, t.notes[request.Name]
	return reply
}

// Notes returns a copy of all notes, keyed by the name of their lease.
func (t *Table) Notes() map[string]string { return maps.Clone(t.notes) }

// RestoreNotes replaces all notes by those of a snapshot.
func (t *Table) RestoreNotes(notes map[string]string) {
	if t.notes = maps.Clone(notes); t.notes == nil {
		t.notes = map[string]string{}
	}
}
