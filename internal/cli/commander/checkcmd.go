package commander

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/inspector"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/settings/checker"
	"lentilrock.example/platform/decoder"
)

// checkCommand is "lentilrock check".
type checkCommand struct {
	Settings string `arg:"" optional:"" type:"path" help:"Settings file (INI)."`
	Config   string `type:"path" placeholder:"FILE" help:"Configuration of the operators (JSON) to check instead."`
	Against  string `type:"path" placeholder:"FILE" help:"Configuration in force, from which the differences are shown."`
}

// Run checks a settings file or a configuration. It returns all faults as one error.
func (c checkCommand) Run(s streams) error {
	switch {
	case (c.Settings == "") == (c.Config == ""):
		return newExitError(ExitUsage, errors.New("name either a settings file or --config FILE"))
	case c.Config != "":
		return c.checkConfig(s)
	case c.Against != "":
		return newExitError(ExitUsage, errors.New("--against needs --config"))
	}
	settings, faults := checker.Load(c.Settings)
	if err := checker.Join(faults); err != nil {
		return newExitError(ExitUsage, err)
	}
	fmt.Fprintf(s.out, "%s: host %s of %s is fine.\n", c.Settings, settings.Name, settings.DataCentre)
	return nil
}

// checkConfig prints the faults of a configuration and its differences from the one in force.
func (c checkCommand) checkConfig(s streams) error {
	config, err := readConfig(c.Config)
	if err != nil {
		return newExitError(ExitUsage, err)
	}
	var former describer.Config
	if c.Against != "" {
		if former, err = readConfig(c.Against); err != nil {
			return newExitError(ExitUsage, err)
		}
	}
	report := inspector.Inspect(config, former)
	for _, line := range report.Faults {
		fmt.Fprintf(s.out, "fault: %s\n", line)
	}
	for _, line := range report.Changes {
		fmt.Fprintf(s.out, "change: %s\n", line)
	}
	if len(report.Faults) > 0 {
		return newExitError(ExitUsage, errors.Newf("%s: %d faults in the configuration", c.Config, len(report.Faults)))
	}
	fmt.Fprintf(s.out, "%s: version %d is fine, with %d changes.\n", c.Config, config.Version, len(report.Changes))
	return nil
}

// readConfig reads a configuration from a file that has the value of the platform's record.
func readConfig(path string) (describer.Config, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return describer.Config{}, errors.Wrap(err, "read configuration")
	}
	if len(value) == 0 {
		return describer.Config{}, errors.Newf("%s: the file is empty", path)
	}
	config, _, err := decoder.Decoder{}.Config(decoder.ConfigKey, value)
	return config, errors.Wrapf(err, "%s", path)
}
