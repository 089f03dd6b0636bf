package eureka

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Keys of an instance's data centre metadata and lease.
const (
	dataCenterZoneKey    = "availability-zone"
	leaseServiceUpKey    = "serviceUpTimestamp"
	leaseRegistrationKey = "registrationTimestamp"
)

// MaxInstances is the largest number of instances in a document.
const MaxInstances = 20_000

var (
	errNoApplications   = errors.New("the registry's response has no applications")
	errTrailingContent  = errors.New("the registry's response has content after its end")
	errUnnamedInstance  = errors.New("the registry's response has an instance without id and host name")
	errTooManyInstances = fmt.Errorf("the registry's response has more than %d instances", MaxInstances)
)

// document decodes a response of a registry. It passes the instances to visit one by one, so that the decoded instances of a large
// document need not be in memory at the same time. If decode fails, the caller must discard the instances visited so far.
type document struct {
	hash      string // apps__hashcode, the registry's checksum; empty if the document has none
	instances int    // number of instances visited so far
	visit     func(*instance) error
}

// reset prepares the document for decoding another response.
func (d *document) reset() { d.hash, d.instances = "", 0 }

// decode reads a document in the format of its media type. It fails unless the input is exactly one complete document.
func (d *document) decode(mediaType string, from io.Reader) error {
	kind, _, _ := strings.Cut(mediaType, ";")
	kind = strings.ToLower(strings.TrimSpace(kind))
	switch {
	case strings.HasSuffix(kind, "json"):
		return d.decodeJSON(from)
	case strings.HasSuffix(kind, "/xml"), strings.HasSuffix(kind, "+xml"):
		return d.decodeXML(from)
	}
	return fmt.Errorf("the registry's response has media type %q, which is neither JSON nor XML", kind)
}

// add passes an instance to visit, after checking its key and the number of instances.
func (d *document) add(i *instance) error {
	if i.key() == "" {
		return errUnnamedInstance
	}
	if d.instances++; d.instances > MaxInstances {
		return errTooManyInstances
	}
	return d.visit(i)
}
