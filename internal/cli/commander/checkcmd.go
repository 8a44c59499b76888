package commander

import (
	"fmt"

	"lentilrock.example/internal/settings/checker"
)

// checkCommand is "lentilrock check".
type checkCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file (INI)."`
}

// Run checks a settings file. It returns all faults as one error.
func (c checkCommand) Run(s streams) error {
	settings, faults := checker.Load(c.Settings)
	if err := checker.Join(faults); err != nil {
		return newExitError(ExitUsage, err)
	}
	fmt.Fprintf(s.out, "%s: host %s of %s is fine.\n", c.Settings, settings.Name, settings.DataCentre)
	return nil
}
