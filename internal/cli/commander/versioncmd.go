package commander

import (
	"fmt"
	"runtime/debug"
)

// versionCommand is "lentilrock version".
type versionCommand struct{}

// Run prints the module version of the build, or "unknown" if the binary has no build information.
func (versionCommand) Run(s streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(s.out, "lentilrock", version)
	return nil
}
