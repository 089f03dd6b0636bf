package eureka

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Keys of an instance's data centre and lease.
const (
	dataCenterZoneKey    = "availability-zone"
	leaseServiceUpKey    = "serviceUpTimestamp"
	leaseRegistrationKey = "registrationTimestamp"
)

// MaxInstances bounds the instances of a document.
const MaxInstances = 20_000

var (
	errNoApplications   = errors.New("no applications in the answer")
	errTrailingContent  = errors.New("trailing content after the document")
	errUnnamedInstance  = errors.New("an instance without id and host")
	errTooManyInstances = fmt.Errorf("more than %d instances", MaxInstances)
)

// document decodes an answer of a registry. Its instances are passed to visit one by one, so that a large document is never held as a
// whole. An instance that was visited does not count if decode fails.
type document struct {
	hash      string // apps__hashcode; empty: there is none
	instances int    // visited so far
	visit     func(*instance) error
}

// reset prepares for another answer.
func (d *document) reset() { d.hash, d.instances = "", 0 }

// decode reads a document by its media type. It fails on what is not one complete document.
func (d *document) decode(mediaType string, from io.Reader) error {
	kind, _, _ := strings.Cut(mediaType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case strings.HasSuffix(kind, "json"):
		return d.decodeJSON(from)
	case strings.HasSuffix(kind, "/xml"), strings.HasSuffix(kind, "+xml"):
		return d.decodeXML(from)
	}
	return fmt.Errorf("the answer is %q, neither JSON nor XML", kind)
}

// add visits an instance.
func (d *document) add(i *instance) error {
	if i.key() == "" {
		return errUnnamedInstance
	}
	if d.instances++; d.instances > MaxInstances {
		return errTooManyInstances
	}
	return d.visit(i)
}
