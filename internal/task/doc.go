// Package task decides on a fleet's background work: which run of a task is due, what becomes of a run whose process was lost, and when a process
// tries to acquire a task's lease. It is pure: no I/O, no clock, no goroutine. Package runner drives it.
//
// A task's lease (package lease) lets one process at a time decide on it. The note that is kept with the lease is the task's Record: the run that
// was started last, and its phase. It is written before a run starts and after it ends, each time under the lease's fencing token: so a process
// that has lost the lease writes nothing any more.
//
// The phases of a run:
//
//	(due) ── MaxDelay passed, and missed runs are skipped ─────────▶ skipped
//	(due) ── otherwise ────────────────────────────────────────────▶ begun
//	begun ── it ends by itself, or by its timeout ─────────────────▶ ended
//	begun ── its process is lost; at most once, or no attempts left ▶ lost
//	begun ── its process is lost; at least once ───────────────────▶ begun, by another process under a higher token
//
// This package imports cron schedules, package lease for the token, and internal/units.
package task
