package boltstore

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/golden"
)

// goldenRecords are the records of the golden file.
var goldenRecords = []idempotency.Record{
	{ID: idempotency.ID{Tenant: "agents", Class: "payment", Key: "k-1"}, Fingerprint: idempotency.Fingerprint{1}, Running: true, UpdatedAt: time.Second},
	{ID: idempotency.ID{Tenant: "agents", Class: "payment", Key: "k-2"}, Fingerprint: idempotency.Fingerprint{2}, Outcome: idempotency.MayHaveRun,
		Attempts: []idempotency.Attempt{{Zone: "dc1", Cell: 1, SentAt: time.Second}}, UpdatedAt: 2 * time.Second},
}

// TestFileGolden checks that buckets, keys and values are written exactly as the previous release wrote them, and that a file of that
// release can be read.
func TestFileGolden(t *testing.T) {
	text := dumpFile(t, goldenRecords)
	golden.Match(t, "file.txt", text)
	path := filepath.Join(t.TempDir(), "old.db")
	createFile(t, path, string(golden.Read(t, "file.txt", text)))
	s, err := Open(t.Context(), path, boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var got []idempotency.Record
	err = s.Load(func(now time.Duration, r idempotency.Record) error {
		if now != 2*time.Second {
			t.Errorf("Load passed the clock %v, want 2s", now)
		}
		got = append(got, r)
		return nil
	})
	if err != nil || !reflect.DeepEqual(got, goldenRecords) {
		t.Errorf("Load passed the records %+v and returned %v; want %+v", got, err, goldenRecords)
	}
}

// dumpFile writes records into a new file, and returns a line "bucket key value" for each of its entries.
func dumpFile(t *testing.T, records []idempotency.Record) []byte {
	t.Helper()
	s, err := Open(t.Context(), filepath.Join(t.TempDir(), "keys.db"), boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range records {
		if err := s.Put(&records[i], nil, records[i].UpdatedAt); err != nil {
			t.Fatal(err)
		}
	}
	var text bytes.Buffer
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&text, "%s %s %s\n", name, hex.EncodeToString(key), hex.EncodeToString(value))
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// createFile writes a bbolt file from lines "bucket key value", using bbolt directly and not the code under test.
func createFile(t *testing.T, path, text string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			bucket, err := tx.CreateBucketIfNotExists([]byte(fields[0]))
			if err != nil {
				return err
			}
			key, err := hex.DecodeString(fields[1])
			if err != nil {
				return err
			}
			value, err := hex.DecodeString(fields[2])
			if err != nil {
				return err
			}
			if err := bucket.Put(key, value); err != nil {
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
}
