package boltstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
)

// The layout of a bbolt meta page, as offsets in bytes from the start of the page. Integers are in the machine's byte order, which is
// little-endian on all supported platforms. A file begins with two meta pages; a page is as long as a memory page of the operating system.
const (
	metaMagicOffset     = 16 // uint32, after the page header
	metaPageSizeOffset  = 24 // uint32, in bytes
	metaPageCountOffset = 56 // uint64, the lowest page ID that is not in use
	metaPageEnd         = 80 // after the transaction ID and the checksum

	metaMagic          = 0xED0CDAED
	largestPageSize    = 16384 // bytes; the largest page of the supported operating systems
	metaPagesBytesRead = 2 * largestPageSize
)

// checkComplete returns an error if a file is shorter than its meta pages state, or is not a bbolt file. bbolt maps files into memory, so
// reading past the end of a truncated file would crash the process. A missing or empty file is not an error.
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
	n, _ := f.ReadAt(head, 0) // the file may be shorter than head
	if size := expectedSize(head[:n]); size < 0 || size > info.Size() {
		return fmt.Errorf("%s is truncated or is not a file of idempotency records: its size is %d bytes", path, info.Size())
	}
	return nil
}

// expectedSize returns the file size in bytes that the meta pages in head, the start of the file, require. It returns -1 if head contains
// no meta page.
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

// recoverPageFault makes a page fault, which a corrupt file may cause, panic instead of ending the process. It returns a function to defer
// that stores a panic in *err.
func recoverPageFault(path string, err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if fault := recover(); fault != nil {
			*err = fmt.Errorf("%s is corrupt: %v", path, fault)
		}
	}
}
