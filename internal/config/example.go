package config

import (
	"fmt"
	"io"

	"orchiddrift/internal/tomlfile"
)

// Example writes a commented operator's file with every key, its default and one service. The daemon can use the file
// unchanged.
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

const exampleHead = `# The operator's file of orchiddrift, with every key and its default. Keys that are commented out with # have no
# default or belong to tables that may occur several times, whose keys are explained after ##. Durations are written
# "250ms", sizes "32MiB". "orchiddrift check FILE" lists all problems. SIGHUP reloads the file while requests are served.

`

// exampleService is the smallest usable file.
const exampleService = `
# A minimal configuration: one service, to which all requests go.
[[service]]
name = "web"
addresses = ["127.0.0.1:9001", "127.0.0.1:9002"]
`

// Show writes the effective file, with defaults filled in and secrets left out.
func (f *File) Show(w io.Writer) error { return tomlfile.Show(w, f) }
