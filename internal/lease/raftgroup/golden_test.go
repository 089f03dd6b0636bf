package raftgroup

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
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

// goldenJSON checks that a value is encoded as the text of the golden file, and that this text is decoded to the value.
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
		t.Errorf("%s is decoded as %+v, want %+v", name, got, want)
	}
}

// Members and clients of different releases must understand each other: the entries of the raft log, the data of its snapshots and the messages
// must be encoded as in earlier releases.
func TestMessagesGolden(t *testing.T) {
	request := lease.Request{Kind: lease.Acquire, Name: "report", Client: "c1", Sequence: 1, SendNumber: 2, Duration: time.Second}
	entry := lease.Entry{Name: "report", Holder: "c1", Sequence: 1, Token: 9, Duration: time.Second, Waiters: []lease.Waiter{{Client: "c2", Sequence: 1, Duration: time.Second}}}
	header := callHeader{Version: protocolVersion, Fleet: "bookings", From: 77, Name: "a"}
	goldenJSON(t, "command.json", proposal{Proposer: 77, ID: 5, LeaderTerm: 3, Request: request})
	goldenJSON(t, "snapshot.json", snapshotData{Version: protocolVersion, LastToken: 9, Entries: []lease.Entry{entry}, Notes: map[string]string{"report": "text"}, Members: map[uint64]string{77: "a"}})
	goldenJSON(t, "step.json", messageCall{header, []byte("message")})
	goldenJSON(t, "ask.json", requestCall{callHeader: header, Request: request, LongPoll: time.Second})
	goldenJSON(t, "answer.json", requestAnswer{Reply: lease.Reply{Status: lease.Granted, Client: "c1", Name: "report", Sequence: 1, SendNumber: 2, Token: 9, Duration: time.Second}, Leader: "b"})
	goldenJSON(t, "info.json", Info{ID: 77, Name: "a", Bootstrapped: true, IsLeader: true, Leader: "a", Members: map[uint64]string{77: "a"}, LastToken: 9, Leases: []lease.Entry{entry},
		RemainingMs: []int64{250}, Notes: map[string]string{"report": "text"}})
	goldenJSON(t, "join.json", joinCall{header})
	var methods strings.Builder
	for _, m := range serviceDesc.Methods {
		fmt.Fprintf(&methods, "/%s/%s\n", serviceDesc.ServiceName, m.MethodName)
	}
	golden.Match(t, "methods.txt", []byte(methods.String()))
}

// storageID is the raft id in files that writeFile creates. Real files have a random one.
const storageID = 77

// dumpFile returns a file's contents as text, one line for each key of each bucket. It leaves out the random raft id.
func dumpFile(t *testing.T, db *bbolt.DB) []byte {
	t.Helper()
	var out bytes.Buffer
	err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(k, v []byte) error {
				key, value := string(k), hex.EncodeToString(v)
				if string(name) == "log" {
					key = hex.EncodeToString(k)
				}
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

// writeFile creates a file from a dump and returns its path.
func writeFile(t *testing.T, dump []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "old.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(dump)) {
			if err := putDumpLine(tx, strings.TrimSpace(line)); err != nil {
				return err
			}
		}
		return nil
	})
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	return path
}

// putDumpLine writes the key and the value of one line of a dump.
func putDumpLine(tx *bbolt.Tx, line string) error {
	fields := strings.SplitN(line, " ", 3)
	bucket, err := tx.CreateBucketIfNotExists([]byte(fields[0]))
	if err != nil {
		return err
	}
	key, value := []byte(fields[1]), binary.BigEndian.AppendUint64(nil, storageID)
	if fields[0] == "log" {
		if key, err = hex.DecodeString(fields[1]); err != nil {
			return err
		}
	}
	if fields[1] != "id" {
		if value, err = hex.DecodeString(fields[2]); err != nil {
			return err
		}
	}
	return bucket.Put(key, value)
}

// A new release must read the file that an earlier release wrote: the buckets, keys and values of a member's file must be the same as in earlier
// releases.
func TestDiskGolden(t *testing.T) {
	hard := &pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(77), Commit: proto.Uint64(2)}
	entries := []*pb.Entry{{Term: proto.Uint64(2), Index: proto.Uint64(2), Data: []byte("first")}, {Term: proto.Uint64(3), Index: proto.Uint64(3), Data: []byte("second")}}
	s, err := openStorage(t.Context(), filepath.Join(t.TempDir(), "member.db"), "bookings", boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.bootstrap(&pb.ConfState{Voters: []uint64{77}}, []byte("record")), s.save(hard, entries, nil)); err != nil {
		t.Fatal(err)
	}
	dump := dumpFile(t, s.db)
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "disk.txt", dump)

	old, err := openStorage(t.Context(), writeFile(t, golden.Read(t, "disk.txt", dump)), "bookings", boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	defer old.close()
	if old.id != storageID || !old.bootstrapped {
		t.Errorf("the earlier release's file has id %d and bootstrapped %t, want id 77 and true", old.id, old.bootstrapped)
	}
	state, conf, err := old.memory.InitialState()
	if err != nil || !proto.Equal(state, hard) || !reflect.DeepEqual(conf.Voters, []uint64{77}) {
		t.Errorf("the earlier release's file was read with hard state %v, conf state %v and error %v, want those that were written", state, conf, err)
	}
	got, err := old.memory.Entries(2, 4, 1<<20)
	if err != nil || len(got) != 2 || string(got[0].Data) != "first" || string(got[1].Data) != "second" {
		t.Errorf("the earlier release's file was read with log entries %v and error %v, want the entries first and second", got, err)
	}
	snapshot, err := old.memory.Snapshot()
	if err != nil || string(snapshot.GetData()) != "record" {
		t.Errorf("the earlier release's file was read with snapshot %v and error %v, want a snapshot with the data record", snapshot, err)
	}
}
