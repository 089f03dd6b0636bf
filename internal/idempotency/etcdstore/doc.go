// Package etcdstore lets several processes of a service share their idempotency keys through etcd's v3 API. A request is claimed in etcd
// before its first byte is sent. Its outcome is written to etcd for repeated requests that arrive at another process. Package executor calls
// etcdstore, and idempotency.SharedRequest.Resolve decides on a request from its key's record. docs/design/repeats.md discusses the protocol.
//
// The keys in etcd, below Declaration.Prefix and the service's name:
//
//	owner/SESSION   exists while a process's session lives; SESSION is its lease's ID in hexadecimal
//	key/HASH        the record of an idempotency key; HASH is a SHA-256 of tenant, class and key
//
// A claim is a transaction that creates a key's record, or replaces exactly the record that was read, if the claiming process's session
// lives. A process never takes over another process's record in state running, even if the other process has ended. A process that resumes
// after a suspension therefore needs no fencing.
//
// A claim has these states:
//
//	                 transaction failed, may be committed           record restored or deleted
//	claiming -----------------------------------------> withdrawing ----------------------------> done
//	    |                                                                                         ^
//	    '--> claimed --Settle--> settlement pending ----------- record written or deleted --------'
//
// Settlements and withdrawals are retried in the background until they are written. A new claim of the key waits for them.
package etcdstore
