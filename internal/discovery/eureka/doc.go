// Package eureka is a client of Netflix's service registry Eureka. It uses version 2 of the REST operations, which Spring Cloud also
// provides.
//
// A Source reports the instances of applications as endpoints, which package membership merges. A Registration registers this process in
// the registry.
//
// Decisions are separate from the calls: pollState decides what is polled next and when, instanceCache stores the registry's instances and
// computes what changed, and lease decides which call a registered instance makes next. These three types do no I/O. Source and
// Registration use them, and each have a goroutine and an HTTP client. Documents are decoded one instance at a time (document.go, json.go,
// xml.go).
//
// The package may import endpoints, membership's statuses, tlscredentials and units.
package eureka
