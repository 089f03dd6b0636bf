package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the release that CHANGELOG.md describes.
const version = "0.2.0-dev"

// commitDigits is the number of digits of the commit's hash that are printed.
const commitDigits = 12

type versionCmd struct{}

// Run is called by kong.
func (versionCmd) Run() error {
	commit := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= commitDigits {
				commit = " " + s.Value[:commitDigits]
			}
		}
	}
	fmt.Printf("orchiddrift %s%s (%s %s/%s)\n", version, commit, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
