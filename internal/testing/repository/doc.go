// Package repository checks the repository as a whole. It checks which packages each package imports, which functions decision packages
// use, and that the paths and packages that pages and comments name exist. It contains only tests.
package repository
