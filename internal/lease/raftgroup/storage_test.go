package raftgroup

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"orchiddrift/internal/boltfile"
)

func entries(term uint64, indexes ...uint64) (out []*pb.Entry) {
	for _, i := range indexes {
		out = append(out, &pb.Entry{Term: &term, Index: &i, Data: []byte{byte(term), byte(i)}})
	}
	return out
}

// A member that restarts must not forget a vote or an entry: everything passed to save must be in the file, and entries of a later leader must replace
// those at the same indexes. A snapshot replaces the entries before it. A file of another fleet must not be opened.
func TestDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	open := func() *storage {
		t.Helper()
		s, err := openStorage(t.Context(), path, "f", boltfile.LockWait{Timeout: 1})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	id := s.id
	if s.bootstrapped || id == 0 {
		t.Errorf("a new file has bootstrapped %v and id %d, want false and an id other than 0", s.bootstrapped, id)
	}
	data, err := json.Marshal(snapshotData{Version: protocolVersion, Members: map[uint64]string{id: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	check(s.bootstrap(&pb.ConfState{Voters: []uint64{id}}, data))
	check(s.save(&pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(id), Commit: proto.Uint64(4)}, entries(2, 2, 3, 4, 5, 6), nil))
	check(s.save(nil, entries(3, 5), nil))
	check(s.close())
	s = open()
	hard, conf, err := s.memory.InitialState()
	check(err)
	if s.id != id || !s.bootstrapped || hard.GetTerm() != 3 || hard.GetVote() != id || len(conf.GetVoters()) != 1 {
		t.Errorf("the reopened file has id %d, bootstrapped %v, hard state %v, conf state %v; want the values that were saved", s.id, s.bootstrapped, hard, conf)
	}
	last, _ := s.memory.LastIndex()
	term, _ := s.memory.Term(5)
	if last != 5 || term != 3 {
		t.Errorf("the reopened log ends at index %d with term %d, want index 5 with term 3", last, term)
	}
	check(s.saveSnapshot(4, conf, data))
	check(s.close())
	s = open()
	if snap, err := s.memory.Snapshot(); err != nil || snap.GetMetadata().GetIndex() != 4 {
		t.Errorf("the snapshot is %v, error %v, want index 4", snap, err)
	}
	if all, err := s.memory.Entries(5, 6, 1<<20); err != nil || len(all) != 1 || all[0].GetTerm() != 3 {
		t.Errorf("the entries after the snapshot are %v, error %v, want one of term 3", all, err)
	}
	if _, err := s.memory.Term(2); !errors.Is(err, raft.ErrCompacted) {
		t.Errorf("reading an entry before the snapshot: error %v, want raft.ErrCompacted", err)
	}
	check(s.close())
	if _, err := openStorage(t.Context(), path, "other", boltfile.LockWait{Timeout: 1}); !errors.Is(err, ErrOtherFleet) {
		t.Errorf("opening the file of another fleet: error %v, want ErrOtherFleet", err)
	}
}

// Opening a damaged file must fail, because a vote may be missing from it, and must not crash the process, wherever the damage is.
func TestTornDisk(t *testing.T) {
	intact := filepath.Join(t.TempDir(), "intact.db")
	s, err := openStorage(t.Context(), intact, "f", boltfile.LockWait{Timeout: 1})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(300) {
		if err := s.save(&pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1)}, entries(1, i+1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(intact)
	if err != nil {
		t.Fatal(err)
	}
	page := os.Getpagesize()
	for name, damage := range map[string]func(b []byte) []byte{
		"truncated after a page":                func(b []byte) []byte { return b[:len(b)/3/page*page] },
		"truncated within a page":               func(b []byte) []byte { return b[:2*page+100] },
		"only the first 100 bytes":              func(b []byte) []byte { return b[:100] },
		"both meta pages zeroed":                func(b []byte) []byte { clear(b[:2*page]); return b },
		"all pages after the meta pages zeroed": func(b []byte) []byte { clear(b[2*page:]); return b },
		"bytes changed in the pages after the meta pages": func(b []byte) []byte {
			for i := 2 * page; i < len(b); i += 7 {
				b[i] ^= byte(i)
			}
			return b
		},
	} {
		path := filepath.Join(t.TempDir(), "damaged.db")
		if err := os.WriteFile(path, damage(append([]byte{}, data...)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := recoverStorageFault(func() error {
			s, err := openStorage(t.Context(), path, "f", boltfile.LockWait{Timeout: 1})
			if err == nil {
				return s.close()
			}
			return err
		}); err == nil {
			t.Errorf("%s: the damaged file was opened without an error", name)
		}
	}
}
