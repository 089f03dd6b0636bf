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

// What save has returned for stands in the file: votes, entries, and what another leader has put in their place; a snapshot takes the place of
// the entries before it. A file of another fleet is not opened.
func TestDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	open := func() *storage {
		t.Helper()
		d, err := openStorage(t.Context(), path, "f", boltfile.LockWait{Timeout: 1})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	d := open()
	id := d.id
	if d.bootstrapped || id == 0 {
		t.Errorf("a new file: formed %v, id %d", d.bootstrapped, id)
	}
	data, err := json.Marshal(recordSnapshot{Version: protocolVersion, Members: map[uint64]string{id: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	check(d.bootstrap(&pb.ConfState{Voters: []uint64{id}}, data))
	check(d.save(&pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(id), Commit: proto.Uint64(4)}, entries(2, 2, 3, 4, 5, 6), nil))
	check(d.save(nil, entries(3, 5), nil))
	check(d.close())
	d = open()
	hard, conf, err := d.memory.InitialState()
	check(err)
	if d.id != id || !d.bootstrapped || hard.GetTerm() != 3 || hard.GetVote() != id || len(conf.GetVoters()) != 1 {
		t.Errorf("%d formed %v, %v, %v", d.id, d.bootstrapped, hard, conf)
	}
	last, _ := d.memory.LastIndex()
	term, _ := d.memory.Term(5)
	if last != 5 || term != 3 {
		t.Errorf("its log ends at %d of term %d", last, term)
	}
	check(d.saveSnapshot(4, conf, data))
	check(d.close())
	d = open()
	if snap, err := d.memory.Snapshot(); err != nil || snap.GetMetadata().GetIndex() != 4 {
		t.Errorf("%v %v", snap, err)
	}
	if all, err := d.memory.Entries(5, 6, 1<<20); err != nil || len(all) != 1 || all[0].GetTerm() != 3 {
		t.Errorf("%v %v", all, err)
	}
	if _, err := d.memory.Term(2); !errors.Is(err, raft.ErrCompacted) {
		t.Errorf("an entry before the snapshot: %v", err)
	}
	check(d.close())
	if _, err := openStorage(t.Context(), path, "other", boltfile.LockWait{Timeout: 1}); !errors.Is(err, ErrOtherFleet) {
		t.Errorf("of another fleet: %v", err)
	}
}

// A torn file is an error, wherever it is torn, and never a crash: what it says may lack a vote.
func TestTornDisk(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole.db")
	d, err := openStorage(t.Context(), whole, "f", boltfile.LockWait{Timeout: 1})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(300) {
		if err := d.save(&pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1)}, entries(1, i+1), nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	page := os.Getpagesize()
	for name, tear := range map[string]func(b []byte) []byte{
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
		path := filepath.Join(t.TempDir(), "torn.db")
		if err := os.WriteFile(path, tear(append([]byte{}, text...)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := recoverStorageFault(func() error {
			d, err := openStorage(t.Context(), path, "f", boltfile.LockWait{Timeout: 1})
			if err == nil {
				return d.close()
			}
			return err
		}); err == nil {
			t.Errorf("%s: it is opened", name)
		}
	}
}
