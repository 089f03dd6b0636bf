// Package etcdstore lets several processes of a service share their idempotency keys, by etcd's v3 API. A request is claimed in etcd before
// its first byte is sent, and its outcome is written there for repeats that arrive at another process. The executor drives it;
// idempotency.SharedRequest.Resolve decides what a record means. docs/design/repeats.md discusses the protocol.
//
// The keys in etcd, below Declaration.Prefix and the service's name:
//
//	owner/SESSION   exists while a process's session lives; SESSION is its lease's ID in hexadecimal
//	key/HASH        the record of an idempotency key; HASH is a SHA-256 of tenant, class and key
//
// A claim is a transaction that creates a key's record, or replaces the very one that was read, if the claiming process's session lives. A
// record that says running is never taken over, whatever became of its owner, so a process that was suspended needs no fencing.
//
// The state of a claim:
//
//	                 transaction failed, may be committed           record restored or deleted
//	claiming -----------------------------------------> withdrawing ----------------------------> done
//	    |                                                                                         ^
//	    '--> claimed --Settle--> settlement pending ----------- record written or deleted --------'
//
// Settlements and withdrawals are retried in the background until they are written; a new claim of the key waits for them.
package etcdstore
