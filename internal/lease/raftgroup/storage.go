package raftgroup

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"orchiddrift/internal/boltfile"
)

// storage is a member's log, votes and snapshot, in one file. What it says is written when save returns: a vote or an entry that was told of
// before that would let a member that crashed vote twice. The log in memory is what raft reads. It is for one goroutine.
type storage struct {
	db           *bbolt.DB
	memory       *raft.MemoryStorage
	id           uint64 // drawn as the file was made: a member whose disk was lost is another member
	bootstrapped bool   // it is, or has been, a member of a group
}

var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")
	idKey       = []byte("id")
	hardKey     = []byte("hard")
	snapKey     = []byte("snapshot")
	fleetKey    = []byte("fleet")
)

var ErrOtherFleet = errors.New("the file is of another fleet")

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// openStorage opens a member's file, or makes it. A file that is torn is an error: what stands in it can't be trusted to hold all votes.
func openStorage(ctx context.Context, path, fleet string, wait boltfile.LockWait) (*storage, error) {
	db, err := boltfile.Open(ctx, path, wait)
	if err != nil {
		return nil, err
	}
	d := &storage{db: db, memory: raft.NewMemoryStorage()}
	if err := d.load(fleet); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return d, nil
}

func (d *storage) load(fleet string) error {
	if err := d.checkPages(); err != nil {
		return err
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{logBucket, stateBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		s := tx.Bucket(stateBucket)
		if s.Get(idKey) == nil {
			var id [8]byte
			if _, err := rand.Read(id[:]); err != nil { // not from the seed: a machine that comes again must not draw the same
				return err
			}
			id[7] |= 1 // 0 is nobody
			if err := errors.Join(s.Put(idKey, id[:]), s.Put(fleetKey, []byte(fleet))); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return d.db.View(func(tx *bbolt.Tx) error {
		s := tx.Bucket(stateBucket)
		if string(s.Get(fleetKey)) != fleet {
			return ErrOtherFleet
		}
		d.id = binary.BigEndian.Uint64(s.Get(idKey))
		if b := s.Get(snapKey); b != nil {
			snap := &pb.Snapshot{}
			if err := proto.Unmarshal(b, snap); err != nil {
				return err
			}
			if err := d.memory.ApplySnapshot(snap); err != nil {
				return err
			}
			d.bootstrapped = true
		}
		if b := s.Get(hardKey); b != nil {
			hard := &pb.HardState{}
			if err := proto.Unmarshal(b, hard); err != nil {
				return err
			}
			if err := d.memory.SetHardState(hard); err != nil {
				return err
			}
			d.bootstrapped = true
		}
		first, err := d.memory.FirstIndex()
		if err != nil {
			return err
		}
		var all []*pb.Entry
		err = tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			if binary.BigEndian.Uint64(k) < first {
				return nil
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return err
			}
			all = append(all, e)
			return nil
		})
		if err != nil {
			return err
		}
		return d.memory.Append(all)
	})
}

// checkPages looks through all pages before anything is read or written: a vote that is lost may be given twice.
func (d *storage) checkPages() error {
	return d.db.View(func(tx *bbolt.Tx) error {
		var first error
		torn := 0
		for err := range tx.Check() {
			if torn++; first == nil {
				first = err
			}
		}
		if torn > 0 {
			return fmt.Errorf("it is torn in %d places: %w", torn, first)
		}
		return nil
	})
}

// save writes what raft wants to stand before anything is said.
func (d *storage) save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	hasSnap, hasHard := !raft.IsEmptySnap(snap), !raft.IsEmptyHardState(hard)
	if !hasSnap && !hasHard && len(entries) == 0 {
		return nil
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		s, l := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if hasSnap {
			if err := putMessage(s, snapKey, snap); err != nil {
				return err
			}
			if err := deleteEntries(l, 0, snap.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if hasHard {
			if err := putMessage(s, hardKey, hard); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		if err := deleteEntries(l, entries[0].GetIndex(), math.MaxUint64); err != nil { // what another leader had put there
			return err
		}
		for _, e := range entries {
			if err := putMessage(l, logKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if hasSnap {
		d.bootstrapped = true
		if err := d.memory.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if hasHard {
		if err := d.memory.SetHardState(hard); err != nil {
			return err
		}
	}
	return d.memory.Append(entries)
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// deleteEntries removes the entries from one on, up to another.
func deleteEntries(b *bbolt.Bucket, from, to uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(logKey(from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Seek(logKey(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// snapshotCatchUpEntries is how many entries stay behind a snapshot, for members that lag a little.
const snapshotCatchUpEntries = 200

// saveSnapshot makes a snapshot of what was applied up to an index, and forgets the entries before.
func (d *storage) saveSnapshot(index uint64, conf *pb.ConfState, data []byte) error {
	snap, err := d.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	first := index - min(index, snapshotCatchUpEntries)
	err = d.db.Update(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(stateBucket), snapKey, snap); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(logBucket), 0, first)
	})
	if err != nil {
		return err
	}
	if err := d.memory.Compact(first); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// bootstrap is how a group begins: every first member's file says the same.
func (d *storage) bootstrap(conf *pb.ConfState, data []byte) error {
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	return d.save(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, nil, snap)
}

func (d *storage) close() error { return d.db.Close() }
