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

// snapshotCatchUpEntries is the number of entries before a snapshot that stay in the log, so that a slow follower can catch up without a snapshot.
const snapshotCatchUpEntries = 200

// The buckets of a member's file, and the keys of stateBucket. The keys of logBucket are log indexes, 8 bytes, big-endian.
var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")

	idKey        = []byte("id")       // raft id of the member, 8 bytes, big-endian
	fleetKey     = []byte("fleet")    // name of the fleet
	hardStateKey = []byte("hard")     // pb.HardState
	snapshotKey  = []byte("snapshot") // pb.Snapshot
)

// storage keeps a member's raft log, hard state and snapshot in a bbolt file, with a copy in memory that raft reads. It is not safe for concurrent
// use.
//
// The arguments of save are on disk when save returns, because a member that crashes after it has sent a vote or acknowledged an entry must not
// forget it.
type storage struct {
	db           *bbolt.DB
	memory       *raft.MemoryStorage
	id           uint64 // raft id, drawn at random when the file is created; a member that has lost its file gets a new one
	bootstrapped bool   // the member is or was in a group
}

// openStorage opens a member's file, or creates it. A damaged file is an error, because a vote may be missing from it.
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

// checkPages checks all pages of the file before any of them is used.
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

// initialize creates the buckets of a new file, and stores its fleet and a random raft id.
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
	if _, err := rand.Read(id[:]); err != nil { // the id must not depend on the configured seed, from which a restarted process would draw the same id again
		return err
	}
	id[len(id)-1] |= 1 // raft does not allow the id 0
	return errors.Join(state.Put(idKey, id[:]), state.Put(fleetKey, []byte(fleet)))
}

// loadState reads the snapshot and the hard state.
func (s *storage) loadState(state *bbolt.Bucket) error {
	if data := state.Get(snapshotKey); data != nil {
		snapshot := &pb.Snapshot{}
		if err := proto.Unmarshal(data, snapshot); err != nil {
			return fmt.Errorf("decoding the snapshot: %w", err)
		}
		if err := s.memory.ApplySnapshot(snapshot); err != nil {
			return err
		}
		s.bootstrapped = true
	}
	if data := state.Get(hardStateKey); data != nil {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(data, hard); err != nil {
			return fmt.Errorf("decoding the hard state: %w", err)
		}
		if err := s.memory.SetHardState(hard); err != nil {
			return err
		}
		s.bootstrapped = true
	}
	return nil
}

// loadLog reads the log entries after the snapshot.
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
			return fmt.Errorf("decoding log entry %d: %w", binary.BigEndian.Uint64(key), err)
		}
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return err
	}
	return s.memory.Append(entries)
}

// bootstrap writes the first snapshot and hard state of a new group. They are the same in every member's file.
func (s *storage) bootstrap(conf *pb.ConfState, data []byte) error {
	const firstIndex, firstTerm = 1, 1
	snapshot := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstTerm)}}
	return s.save(&pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex)}, nil, snapshot)
}

// save writes the state that raft requires to be on disk before its messages are sent.
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

// saveSnapshot writes a snapshot of the state as of the applied index, and compacts the log.
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

// logKey returns the key of a log entry.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putEntries writes entries to the log. They replace all stored entries from the index of the first new entry on, because an earlier leader sent
// those.
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

// deleteEntries deletes a range of log entries. The parameter from is the first index of the range, and to is the first index after it.
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

// recoverStorageFault calls use and turns a panic or a memory fault in it into an error, so that a damaged file ends only the member and not its
// process. bbolt panics on some damaged pages, and a read of a mapped page beyond the end of a truncated file is a memory fault.
func recoverStorageFault(use func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w, or the code that uses the file has a bug: panic: %v", ErrCorrupted, p)
		}
	}()
	return use()
}
