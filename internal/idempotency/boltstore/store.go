// Package boltstore stores idempotency records durably in a bbolt file. It implements executor.RecordStore, whose methods the executor
// calls from several goroutines. A record is synced to the disk when Put returns; concurrent Puts share a sync. docs/design/repeats.md
// compares bbolt with a custom log file.
//
// The file has two buckets. "keys" maps tenant, class and key, separated by zero bytes, to the encoded record. "meta" contains, under the
// key "now", the latest clock reading of the processes that wrote to the file, in nanoseconds, as 8 bytes big-endian.
package boltstore

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
)

// Store is an open file of records. It is safe for concurrent use.
type Store struct{ db *bbolt.DB }

// The names of the buckets and the key of the clock in metaBucket.
var (
	recordsBucket = []byte("keys")
	metaBucket    = []byte("meta")
	clockKey      = []byte("now")
)

const (
	maxBatchDelay   = 2 * time.Millisecond // how long a Put waits for other Puts that share its sync
	maxBatchRecords = 50_000               // maximum number of records in a transaction of PutAll
	clockBytes      = 8                    // length of the stored clock in bytes
)

// Open opens a file, or creates it. wait configures how long to wait if another process has locked the file. If the file is truncated,
// corrupt or from another program, Open returns an error and leaves the file unchanged, since the file may contain keys whose requests must
// not be executed again.
func Open(ctx context.Context, path string, wait boltfile.LockWait) (s *Store, err error) {
	defer recoverPageFault(path, &err)()
	if err := checkComplete(path); err != nil {
		return nil, err
	}
	db, err := boltfile.Open(ctx, path, wait)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	if err := db.Update(createBuckets); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s is corrupt: %w", path, err)
	}
	return &Store{db}, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{recordsBucket, metaBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// Load calls do for each record. The argument now is the last known time of the previous process's clock.
func (s *Store) Load(do func(now time.Duration, record idempotency.Record) error) (err error) {
	defer recoverPageFault(s.db.Path(), &err)()
	now, err := s.Clock()
	if err != nil {
		return err
	}
	err = s.db.View(func(tx *bbolt.Tx) error {
		var previous idempotency.Record
		return tx.Bucket(recordsBucket).ForEach(func(_, value []byte) error {
			record, err := recordcodec.Decode(value, &previous)
			if err != nil {
				return err
			}
			previous = record
			return do(now, record)
		})
	})
	if err != nil {
		return fmt.Errorf("load records from %s: %w", s.db.Path(), err)
	}
	return nil
}

// Clock returns the last known time of the clock of the process that wrote the file, or 0 if none has. It does not depend on the records: the
// clock has to go on when they have all expired.
func (s *Store) Clock() (now time.Duration, err error) {
	defer recoverPageFault(s.db.Path(), &err)()
	err = s.db.View(func(tx *bbolt.Tx) error {
		now, _ = readClock(tx)
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("read the clock of %s: %w", s.db.Path(), err)
	}
	return now, nil
}

// Put writes record, if it is not nil, deletes the expired records and advances the stored clock. The parameter now is the clock's new
// time. Put returns when these changes are durable.
func (s *Store) Put(record *idempotency.Record, expired []idempotency.ID, now time.Duration) error {
	var value []byte
	if record != nil {
		value = recordcodec.Encode(record)
	}
	return s.db.Batch(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		for _, id := range expired {
			if err := records.Delete(recordKey(id)); err != nil {
				return err
			}
		}
		if record != nil {
			if err := records.Put(recordKey(record.ID), value); err != nil {
				return err
			}
		}
		if stored, found := readClock(tx); found && stored >= now { // concurrent Puts may commit out of order
			return nil
		}
		return writeClock(tx, now)
	})
}

// PutAll writes many records in order, with one sync for every maxBatchRecords records, and sets the stored clock. The parameter now is the
// clock's new time.
func (s *Store) PutAll(records []idempotency.Record, now time.Duration) error {
	for len(records) > 0 {
		batch := records[:min(maxBatchRecords, len(records))]
		records = records[len(batch):]
		err := s.db.Update(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket(recordsBucket)
			for i := range batch {
				if err := bucket.Put(recordKey(batch[i].ID), recordcodec.Encode(&batch[i])); err != nil {
					return err
				}
			}
			return writeClock(tx, now)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// recordKey returns the key of a record in its bucket.
func recordKey(id idempotency.ID) []byte {
	return []byte(id.Tenant + "\x00" + id.Class + "\x00" + id.Key)
}

// readClock returns the stored clock, or false if none is stored.
func readClock(tx *bbolt.Tx) (time.Duration, bool) {
	value := tx.Bucket(metaBucket).Get(clockKey)
	if len(value) != clockBytes {
		return 0, false
	}
	return time.Duration(binary.BigEndian.Uint64(value)), true
}

func writeClock(tx *bbolt.Tx, now time.Duration) error {
	return tx.Bucket(metaBucket).Put(clockKey, binary.BigEndian.AppendUint64(nil, uint64(now)))
}
