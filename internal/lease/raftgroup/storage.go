package raftgroup

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"orchiddrift/internal/boltfile"
)

// snapshotCatchUpEntries is how many entries the log keeps behind a snapshot, so that a slow follower can catch up without one.
const snapshotCatchUpEntries = 200

// The buckets of a member's file, and the keys of stateBucket. The keys of logBucket are indexes, big-endian.
var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")

	idKey        = []byte("id")       // raft id of the member, 8 bytes, big-endian
	fleetKey     = []byte("fleet")    // name of the fleet
	hardStateKey = []byte("hard")     // pb.HardState
	snapshotKey  = []byte("snapshot") // pb.Snapshot
)

// storage is a member's log, hard state and snapshot: a bbolt file, and a copy in memory that raft reads. It is not safe for concurrent use.
//
// What save was given stands on the disk when it returns: a member that crashed after it had answered for a vote or an entry must not have
// forgotten it.
type storage struct {
	db           *bbolt.DB
	memory       *raft.MemoryStorage
	id           uint64 // raft id, drawn when the file was made: a member whose file was lost is another member
	bootstrapped bool   // it is or was a member of a group
}

// openStorage opens a member's file, or makes it. A damaged file is an error: it may lack a vote.
func openStorage(ctx context.Context, path, fleet string, wait boltfile.LockWait) (*storage, error) {
	db, err := boltfile.Open(ctx, path, wait)
	if err != nil {
		return nil, err
	}
	s := &storage{db: db, memory: raft.NewMemoryStorage()}
	if err := s.load(fleet); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return s, nil
}

// load checks the file, initializes it if it is new, and reads it into memory.
func (s *storage) load(fleet string) error {
	if err := s.checkPages(); err != nil {
		return err
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return initialize(tx, fleet) }); err != nil {
		return err
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(stateBucket)
		if string(state.Get(fleetKey)) != fleet {
			return ErrOtherFleet
		}
		s.id = binary.BigEndian.Uint64(state.Get(idKey))
		if err := s.loadState(state); err != nil {
			return err
		}
		return s.loadLog(tx.Bucket(logBucket))
	})
}

// checkPages checks all pages of the file before any is used.
func (s *storage) checkPages() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		var first error
		faults := 0
		for err := range tx.Check() {
			if faults++; first == nil {
				first = err
			}
		}
		if faults > 0 {
			return fmt.Errorf("%w in %d places: %w", ErrCorrupted, faults, first)
		}
		return nil
	})
}

// initialize makes the buckets of a new file and draws its id.
func initialize(tx *bbolt.Tx, fleet string) error {
	for _, name := range [][]byte{logBucket, stateBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	state := tx.Bucket(stateBucket)
	if state.Get(idKey) != nil {
		return nil
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil { // not from the configured seed: a process that starts again must not draw the same id
		return err
	}
	id[len(id)-1] |= 1 // raft's 0 is no member
	return errors.Join(state.Put(idKey, id[:]), state.Put(fleetKey, []byte(fleet)))
}

// loadState reads the snapshot and the hard state.
func (s *storage) loadState(state *bbolt.Bucket) error {
	if data := state.Get(snapshotKey); data != nil {
		snapshot := &pb.Snapshot{}
		if err := proto.Unmarshal(data, snapshot); err != nil {
			return fmt.Errorf("reading the snapshot: %w", err)
		}
		if err := s.memory.ApplySnapshot(snapshot); err != nil {
			return err
		}
		s.bootstrapped = true
	}
	if data := state.Get(hardStateKey); data != nil {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(data, hard); err != nil {
			return fmt.Errorf("reading the hard state: %w", err)
		}
		if err := s.memory.SetHardState(hard); err != nil {
			return err
		}
		s.bootstrapped = true
	}
	return nil
}

// loadLog reads the entries behind the snapshot.
func (s *storage) loadLog(log *bbolt.Bucket) error {
	first, err := s.memory.FirstIndex()
	if err != nil {
		return err
	}
	var entries []*pb.Entry
	err = log.ForEach(func(key, value []byte) error {
		if binary.BigEndian.Uint64(key) < first {
			return nil
		}
		entry := &pb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return fmt.Errorf("reading entry %d: %w", binary.BigEndian.Uint64(key), err)
		}
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return err
	}
	return s.memory.Append(entries)
}

// bootstrap writes the first snapshot and hard state of a new group. They are the same in each member's file.
func (s *storage) bootstrap(conf *pb.ConfState, data []byte) error {
	const firstIndex, firstTerm = 1, 1
	snapshot := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstTerm)}}
	return s.save(&pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex)}, nil, snapshot)
}

// save writes what raft requires to be on the disk before it sends its messages.
func (s *storage) save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	hasSnapshot, hasHardState := !raft.IsEmptySnap(snapshot), !raft.IsEmptyHardState(hard)
	if !hasSnapshot && !hasHardState && len(entries) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if hasSnapshot {
			if err := putMessage(state, snapshotKey, snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, snapshot.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if hasHardState {
			if err := putMessage(state, hardStateKey, hard); err != nil {
				return err
			}
		}
		return putEntries(log, entries)
	})
	if err != nil {
		return err
	}
	if hasSnapshot {
		s.bootstrapped = true
		if err := s.memory.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if hasHardState {
		if err := s.memory.SetHardState(hard); err != nil {
			return err
		}
	}
	return s.memory.Append(entries)
}

// saveSnapshot makes a snapshot of the state that was applied up to an index, and compacts the log.
func (s *storage) saveSnapshot(index uint64, conf *pb.ConfState, data []byte) error {
	snapshot, err := s.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	first := index - min(index, snapshotCatchUpEntries)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(stateBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(logBucket), 0, first)
	})
	if err != nil {
		return err
	}
	if err := s.memory.Compact(first); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

func (s *storage) close() error { return s.db.Close() }

// logKey is the key of an entry.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putEntries writes entries in place of those from the first one's index on, which another leader had sent.
func putEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(log, logKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries from an index on, up to but not including another.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(logKey(from)); key != nil && binary.BigEndian.Uint64(key) < to; key, _ = cursor.Seek(logKey(from)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}

// recoverStorageFault turns a panic or a memory fault in use into an error, so that a damaged file ends the member alone and not its process. bbolt
// panics on some damaged pages, and reading a mapped page that the file has lost is a memory fault.
func recoverStorageFault(use func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w, or the program is wrong: %v", ErrCorrupted, p)
		}
	}()
	return use()
}
