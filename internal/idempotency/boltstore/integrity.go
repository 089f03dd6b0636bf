package boltstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
)

// The layout of a bbolt meta page, as offsets in bytes from the start of the page. Integers are in the machine's byte order, which is
// little-endian on all supported platforms. A file begins with two meta pages. A page has the size of a memory page of the operating system.
const (
	metaMagicOffset     = 16 // uint32, after the page header
	metaPageSizeOffset  = 24 // uint32, in bytes
	metaPageCountOffset = 56 // uint64, number of pages that the file must contain
	metaPageEnd         = 80 // end of the meta data, after the transaction ID and the checksum

	metaMagic          = 0xED0CDAED
	largestPageSize    = 16384 // largest page size of the supported operating systems, in bytes
	metaPagesBytesRead = 2 * largestPageSize
)

// checkComplete returns an error if a file is shorter than the size that its meta pages state, or is not a bbolt file. bbolt maps files
// into memory, so reading past the end of a truncated file would crash the process. A missing or empty file is not an error.
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

// expectedSize returns the minimum file size, in bytes, according to the meta pages. head is the start of the file. expectedSize returns -1
// if head contains no meta page.
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

// recoverPageFault makes a page fault cause a panic instead of ending the process, since a corrupt file may cause page faults. The caller
// must defer the returned function, which recovers from the panic and stores it as an error in *err.
func recoverPageFault(path string, err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if fault := recover(); fault != nil {
			*err = fmt.Errorf("%s is corrupt: %v", path, fault)
		}
	}
}
