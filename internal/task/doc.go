// Package task decides on a fleet's background work: which run of a task is due, what happens to a run whose process was lost, and when a
// process tries to acquire a task's lease. It does no I/O, and has no clock and no goroutine. Package runner carries out its decisions.
//
// A task's lease (package lease) lets one process at a time decide on the task. The note that is stored with the lease is the task's Record: the
// run that was started last, and its phase. It is written before a run starts and after it ends, each time under the lease's fencing token, so
// that a process that has lost the lease cannot write it.
//
// The phases of a run:
//
//	(due) ── MaxDelay passed, and missed runs are skipped ─────────▶ skipped
//	(due) ── otherwise ────────────────────────────────────────────▶ begun
//	begun ── it ends by itself, or by its timeout ─────────────────▶ ended
//	begun ── its process is lost; at most once, or no attempts left ▶ lost
//	begun ── its process is lost; at least once ───────────────────▶ begun, by another process under a higher token
//
// The package depends on a cron parser for schedules, package lease for the token, and package units.
package task
