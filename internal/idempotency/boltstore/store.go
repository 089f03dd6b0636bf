// Package boltstore keeps the records of a repeats.Store on a disk that lasts, in a bbolt file: a record is there, synced, when
// Put returns. Puts at the same time share a sync. docs/design/repeats.md weighs it against a log of the project's own.
package boltstore

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
)

// Store is an open file. It is safe for concurrent use.
type Store struct{ db *bbolt.DB }

var (
	keys = []byte("keys") // records by id
	meta = []byte("meta")
	now  = []byte("now") // the latest time that a record was of
)

const together = 2 * time.Millisecond

// Open opens a file, or makes it; wait is for where another process has it. One that is cut, broken or another program's is an error:
// keys that may matter stand in it, and who takes it away says that they do not.
func Open(ctx context.Context, path string, wait boltfile.LockWait) (l *Store, err error) {
	defer guard(path, &err)()
	if err := whole(path); err != nil {
		return nil, err
	}
	db, err := boltfile.Open(ctx, path, wait)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = together
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{keys, meta} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s is broken: %w", path, err)
	}
	return &Store{db}, nil
}

// whole tells a file that lacks its end: what is mapped of it would end the process.
func whole(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	head := make([]byte, 2*16384)
	n, _ := f.ReadAt(head, 0) // it may be shorter
	// bbolt's page: 16 bytes of head, then magic, version, page size, flags, root (16 bytes), free list, pages, transaction.
	most := int64(-1)
	for _, at := range []int{0, os.Getpagesize()} {
		if at+80 > n || binary.LittleEndian.Uint32(head[at+16:]) != 0xED0CDAED {
			continue
		}
		size := int64(binary.LittleEndian.Uint32(head[at+24:]))
		pages := int64(binary.LittleEndian.Uint64(head[at+56:]))
		most = max(most, size*pages)
	}
	if most < 0 || most > info.Size() {
		return fmt.Errorf("%s is cut or no file of keys: it has %d bytes", path, info.Size())
	}
	return nil
}

// guard turns a fault in a broken file's pages into an error.
func guard(path string, err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%s is broken: %v", path, p)
		}
	}
}

// Load calls do for each record, with the time up to which the last process's went on.
func (l *Store) Load(do func(at time.Duration, r idempotency.Record) error) (err error) {
	defer guard(l.db.Path(), &err)()
	err = l.db.View(func(tx *bbolt.Tx) error {
		var at time.Duration
		if b := tx.Bucket(meta).Get(now); len(b) == 8 {
			at = time.Duration(binary.BigEndian.Uint64(b))
		}
		var r idempotency.Record
		return tx.Bucket(keys).ForEach(func(_, v []byte) error {
			if r, err = recordcodec.Decode(v, &r); err != nil {
				return err
			}
			return do(at, r)
		})
	})
	if err != nil {
		return fmt.Errorf("%s: %w", l.db.Path(), err)
	}
	return nil
}

// Put writes a record, and takes out others; it returns when that is on the disk.
func (l *Store) Put(r *idempotency.Record, gone []idempotency.ID, at time.Duration) error {
	var value []byte
	if r != nil {
		value = recordcodec.Encode(r)
	}
	return l.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(keys)
		for _, id := range gone {
			if err := b.Delete(key(id)); err != nil {
				return err
			}
		}
		if r != nil {
			if err := b.Put(key(r.ID), value); err != nil {
				return err
			}
		}
		m := tx.Bucket(meta)
		if was := m.Get(now); len(was) == 8 && time.Duration(binary.BigEndian.Uint64(was)) >= at {
			return nil
		}
		return m.Put(now, binary.BigEndian.AppendUint64(nil, uint64(at)))
	})
}

// PutAll writes many records in order, with few syncs.
func (l *Store) PutAll(records []idempotency.Record, at time.Duration) error {
	const each = 50_000
	for len(records) > 0 {
		some := records[:min(each, len(records))]
		records = records[len(some):]
		err := l.db.Update(func(tx *bbolt.Tx) error {
			b := tx.Bucket(keys)
			for i := range some {
				if err := b.Put(key(some[i].ID), recordcodec.Encode(&some[i])); err != nil {
					return err
				}
			}
			return tx.Bucket(meta).Put(now, binary.BigEndian.AppendUint64(nil, uint64(at)))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func key(id idempotency.ID) []byte { return []byte(id.Tenant + "\x00" + id.Class + "\x00" + id.Key) }

// Close closes the file.
func (l *Store) Close() error { return l.db.Close() }
