package boltstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
)

// The layout of a bbolt meta page: offsets in bytes from the start of the page. Its integers are in the byte order of the machine, which
// is little-endian on all supported ones. The file begins with two meta pages, one per page size of the operating system.
const (
	metaMagicOffset     = 16 // uint32, after the page header
	metaPageSizeOffset  = 24 // uint32, in bytes
	metaPageCountOffset = 56 // uint64, the first page ID that is not in use
	metaPageEnd         = 80 // transaction ID and checksum included

	metaMagic          = 0xED0CDAED
	largestPageSize    = 16384 // bytes, of the supported operating systems
	metaPagesBytesRead = 2 * largestPageSize
)

// checkComplete returns an error for a file that is shorter than its meta pages say, or is not a bbolt file. bbolt maps files into memory,
// so that reading past the end of a truncated one would crash the process.
func checkComplete(path string) error {
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
	head := make([]byte, metaPagesBytesRead)
	n, _ := f.ReadAt(head, 0) // the file may be shorter
	if size := expectedSize(head[:n]); size < 0 || size > info.Size() {
		return fmt.Errorf("%s is truncated or not a file of idempotency records: it has %d bytes", path, info.Size())
	}
	return nil
}

// expectedSize returns the size in bytes that the meta pages at the start of a file ask for; negative if there is no meta page.
func expectedSize(head []byte) int64 {
	size := int64(-1)
	for _, page := range []int{0, os.Getpagesize()} {
		if page+metaPageEnd > len(head) || binary.LittleEndian.Uint32(head[page+metaMagicOffset:]) != metaMagic {
			continue
		}
		pageSize := int64(binary.LittleEndian.Uint32(head[page+metaPageSizeOffset:]))
		pages := int64(binary.LittleEndian.Uint64(head[page+metaPageCountOffset:]))
		size = max(size, pageSize*pages)
	}
	return size
}

// recoverPageFault turns a panic or page fault, which a corrupt file may cause, into an error. It returns the function to defer.
func recoverPageFault(path string, err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if fault := recover(); fault != nil {
			*err = fmt.Errorf("%s is corrupt: %v", path, fault)
		}
	}
}
