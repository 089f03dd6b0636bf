package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the release that CHANGELOG.md describes last.
const version = "0.2.0-dev"

type versionCmd struct{}

func (versionCmd) Run() error {
	commit := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 {
				commit = " " + s.Value[:12]
			}
		}
	}
	fmt.Printf("orchiddrift %s%s (%s %s/%s)\n", version, commit, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
