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

// What save was given stands in the file: votes, entries, and those that another leader has sent in their place. A snapshot replaces the entries before
// it. A file of another fleet is not opened.
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
		t.Errorf("a new file: bootstrapped %v, id %d", s.bootstrapped, id)
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
		t.Errorf("%d bootstrapped %v, %v, %v", s.id, s.bootstrapped, hard, conf)
	}
	last, _ := s.memory.LastIndex()
	term, _ := s.memory.Term(5)
	if last != 5 || term != 3 {
		t.Errorf("its log ends at %d of term %d", last, term)
	}
	check(s.saveSnapshot(4, conf, data))
	check(s.close())
	s = open()
	if snap, err := s.memory.Snapshot(); err != nil || snap.GetMetadata().GetIndex() != 4 {
		t.Errorf("%v %v", snap, err)
	}
	if all, err := s.memory.Entries(5, 6, 1<<20); err != nil || len(all) != 1 || all[0].GetTerm() != 3 {
		t.Errorf("%v %v", all, err)
	}
	if _, err := s.memory.Term(2); !errors.Is(err, raft.ErrCompacted) {
		t.Errorf("an entry before the snapshot: %v", err)
	}
	check(s.close())
	if _, err := openStorage(t.Context(), path, "other", boltfile.LockWait{Timeout: 1}); !errors.Is(err, ErrOtherFleet) {
		t.Errorf("of another fleet: %v", err)
	}
}

// A damaged file is an error, wherever it is damaged, and never a crash: it may lack a vote.
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
		"cut":              func(b []byte) []byte { return b[:len(b)/3/page*page] },
		"cut in a page":    func(b []byte) []byte { return b[:2*page+100] },
		"empty but there":  func(b []byte) []byte { return b[:100] },
		"both metas":       func(b []byte) []byte { clear(b[:2*page]); return b },
		"all behind metas": func(b []byte) []byte { clear(b[2*page:]); return b },
		"noise in its tree": func(b []byte) []byte {
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
			t.Errorf("%s: it is opened", name)
		}
	}
}
