package config

import (
	"fmt"
	"io"

	"orchiddrift/internal/tomlfile"
)

// Example writes a commented operator's file with every key and its default, and one service, so that it can be used as it is.
func Example(w io.Writer) error {
	if _, err := fmt.Fprint(w, exampleHead); err != nil {
		return err
	}
	if err := tomlfile.Example(w, File{}); err != nil {
		return err
	}
	_, err := fmt.Fprint(w, exampleService)
	return err
}

const exampleHead = `# The operator's file of orchiddrift, with every key and its default. Lines that begin with a # and a key are to be
# filled in; ## explains keys of tables that may stand there more than once. Durations are written "250ms", sizes
# "32MiB". "orchiddrift check FILE" lists all mistakes; SIGHUP applies what can change under load.

`

// exampleService is the least that a file needs.
const exampleService = `
# To begin with, one service: all requests go there.
[[service]]
name = "web"
addresses = ["127.0.0.1:9001", "127.0.0.1:9002"]
`

// Show writes the effective file, without secrets.
func (f *File) Show(w io.Writer) error { return tomlfile.Show(w, f) }
