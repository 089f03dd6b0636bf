// Package repository checks the repository as a whole: which package may import which, what a decision package may use, and that no
// page names a path or a package that is not there. It holds tests only.
package repository
