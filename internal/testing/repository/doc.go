// Package repository checks the repository as a whole: which packages may import which, what decision packages may use, and that the paths
// and packages that pages and comments name exist. It contains only tests.
package repository
