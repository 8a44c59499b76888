package commander

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the build.
func (versionCommand) Run(s streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(s.out, "lentilrock", version)
	return nil
}
