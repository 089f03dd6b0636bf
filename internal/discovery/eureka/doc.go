// Package eureka is a client of Netflix's Eureka: version 2 of its REST operations, as Spring Cloud serves them too.
//
// A Source follows the instances of applications as endpoints, for package membership to merge. A Registration makes this process known
// in the registry.
//
// Decisions are apart from the calls: pollState decides what is polled next and when, instanceCache holds the registry's instances and
// says what changed, and lease decides what a registered instance sends next. They have no I/O and are driven by Source and Registration,
// which own a goroutine and an HTTP client each. The documents are decoded one instance at a time (document.go, json.go, xml.go).
//
// The package may import endpoints, membership's statuses, tlscredentials and units.
package eureka
