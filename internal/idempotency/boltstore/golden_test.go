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

// A file of keys is read and written as the release before did: its buckets, keys and values.
func TestFileGolden(t *testing.T) {
	want := []idempotency.Record{
		{ID: idempotency.ID{Tenant: "agents", Class: "payment", Key: "k-1"}, Fingerprint: idempotency.Fingerprint{1}, Running: true, UpdatedAt: time.Second},
		{ID: idempotency.ID{Tenant: "agents", Class: "payment", Key: "k-2"}, Fingerprint: idempotency.Fingerprint{2}, Outcome: idempotency.MayHaveRun,
			Attempts: []idempotency.Attempt{{Zone: "dc1", Cell: 1, SentAt: time.Second}}, UpdatedAt: 2 * time.Second},
	}
	l, err := Open(t.Context(), filepath.Join(t.TempDir(), "keys.db"), boltfile.LockWait{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range want {
		if err := l.Put(&want[i], nil, want[i].UpdatedAt); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	err = l.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %s %s\n", name, hex.EncodeToString(k), hex.EncodeToString(v))
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "file.txt", out.Bytes())

	// A file that is made from the golden text alone is opened.
	old := filepath.Join(t.TempDir(), "old.db")
	db, err := bbolt.Open(old, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(golden.Read(t, "file.txt", out.Bytes()))) {
			part := strings.Fields(line)
			b, err := tx.CreateBucketIfNotExists([]byte(part[0]))
			if err != nil {
				return err
			}
			key, err := hex.DecodeString(part[1])
			if err != nil {
				return err
			}
			value, err := hex.DecodeString(part[2])
			if err != nil {
				return err
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
	if l, err = Open(t.Context(), old, boltfile.LockWait{}); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var got []idempotency.Record
	err = l.Load(func(at time.Duration, r idempotency.Record) error {
		if at != 2*time.Second {
			t.Errorf("the process's time is read as %v", at)
		}
		got = append(got, r)
		return nil
	})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v; want %+v", got, err, want)
	}
}
