package raftgroup

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/lease"
	"orchiddrift/internal/testing/golden"
)

// goldenJSON holds a value to a file of JSON, in both directions.
func goldenJSON[T any](t *testing.T, name string, want T) {
	t.Helper()
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, name, text)
	var got T
	if err := json.Unmarshal(golden.Read(t, name, text), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s is read as %+v, want %+v", name, got, want)
	}
}

// What stands in the group's log and snapshots, and what members and clients of different releases say to each other, is read and written byte
// for byte as the release before did.
func TestMessagesGolden(t *testing.T) {
	ask := lease.Request{Kind: lease.Acquire, Name: "report", Client: "c1", Sequence: 1, SendNumber: 2, Duration: time.Second}
	entry := lease.Entry{Name: "report", Holder: "c1", Sequence: 1, Token: 9, Duration: time.Second, Waiters: []lease.Waiter{{Client: "c2", Sequence: 1, Duration: time.Second}}}
	from := callHeader{Version: protocolVersion, Fleet: "bookings", From: 77, Name: "a"}
	goldenJSON(t, "command.json", proposal{Proposer: 77, ID: 5, LeaderTerm: 3, Request: ask})
	goldenJSON(t, "snapshot.json", recordSnapshot{Version: protocolVersion, LastToken: 9, Entries: []lease.Entry{entry}, Notes: map[string]string{"report": "text"}, Members: map[uint64]string{77: "a"}})
	goldenJSON(t, "step.json", messageCall{from, []byte("message")})
	goldenJSON(t, "ask.json", requestCall{callHeader: from, Request: ask, Hold: time.Second})
	goldenJSON(t, "answer.json", requestAnswer{Reply: lease.Reply{Status: lease.Granted, Client: "c1", Name: "report", Sequence: 1, SendNumber: 2, Token: 9, Duration: time.Second}, Leader: "b"})
	goldenJSON(t, "info.json", Info{ID: 77, Name: "a", Bootstrapped: true, IsLeader: true, Leader: "a", Members: map[uint64]string{77: "a"}, LastToken: 9, Leases: []lease.Entry{entry},
		RemainingMs: []int64{250}, Notes: map[string]string{"report": "text"}})
	goldenJSON(t, "join.json", joinCall{from})
	var methods strings.Builder
	for _, m := range serviceDesc.Methods {
		fmt.Fprintf(&methods, "/%s/%s\n", serviceDesc.ServiceName, m.MethodName)
	}
	golden.Match(t, "methods.txt", []byte(methods.String()))
}

// dump writes what a file holds, by bucket and key; the id that each file draws is left out.
func dump(t *testing.T, db *bbolt.DB) []byte {
	t.Helper()
	var out bytes.Buffer
	err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				key := string(k)
				if string(name) == "log" {
					key = hex.EncodeToString(k)
				}
				value := hex.EncodeToString(v)
				if key == "id" {
					value = fmt.Sprintf("%d bytes", len(v))
				}
				fmt.Fprintf(&out, "%s %s %s\n", name, key, value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// A member's file is read and written as the release before did: its buckets, keys and values.
func TestDiskGolden(t *testing.T) {
	hard := &pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(77), Commit: proto.Uint64(2)}
	entries := []*pb.Entry{{Term: proto.Uint64(2), Index: proto.Uint64(2), Data: []byte("first")}, {Term: proto.Uint64(3), Index: proto.Uint64(3), Data: []byte("second")}}
	path := filepath.Join(t.TempDir(), "member.db")
	d, err := openStorage(t.Context(), path, "bookings", boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.bootstrap(&pb.ConfState{Voters: []uint64{77}}, []byte("record")); err != nil {
		t.Fatal(err)
	}
	if err := d.save(hard, entries, nil); err != nil {
		t.Fatal(err)
	}
	text := dump(t, d.db)
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "disk.txt", text)

	// A file that is made from the golden text alone is opened.
	old := filepath.Join(t.TempDir(), "old.db")
	db, err := bbolt.Open(old, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(golden.Read(t, "disk.txt", text))) {
			part := strings.SplitN(strings.TrimSpace(line), " ", 3)
			b, err := tx.CreateBucketIfNotExists([]byte(part[0]))
			if err != nil {
				return err
			}
			key, value := []byte(part[1]), []byte{0, 0, 0, 0, 0, 0, 0, 77}
			if part[0] == "log" {
				if key, err = hex.DecodeString(part[1]); err != nil {
					return err
				}
			}
			if part[1] != "id" {
				if value, err = hex.DecodeString(part[2]); err != nil {
					return err
				}
			}
			if err := b.Put(key, value); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	if d, err = openStorage(t.Context(), old, "bookings", boltfile.LockWait{}); err != nil {
		t.Fatal(err)
	}
	defer d.close()
	if d.id != 77 || !d.bootstrapped {
		t.Errorf("id %d, formed %t", d.id, d.bootstrapped)
	}
	state, conf, err := d.memory.InitialState()
	if err != nil || !proto.Equal(state, hard) || !reflect.DeepEqual(conf.Voters, []uint64{77}) {
		t.Errorf("state %v, group %v, %v", state, conf, err)
	}
	got, err := d.memory.Entries(2, 4, 1<<20)
	if err != nil || len(got) != 2 || string(got[0].Data) != "first" || string(got[1].Data) != "second" {
		t.Errorf("entries %v, %v", got, err)
	}
	snap, err := d.memory.Snapshot()
	if err != nil || string(snap.GetData()) != "record" {
		t.Errorf("snapshot %v, %v", snap, err)
	}
}
