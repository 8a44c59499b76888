package commander

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/core/replayer"
)

// replayCommand is "lentilrock replay".
type replayCommand struct {
	Traces []string `arg:"" help:"Recorded traces."`
}

// Run replays each trace and prints the expected outcomes that do not hold. It returns an
// error if there are any.
func (c replayCommand) Run(s streams) error {
	failed := 0
	for _, path := range c.Traces {
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Errorf("read trace: %w", err)
		}
		result, err := replayer.Play(data)
		if err != nil {
			return newExitError(ExitUsage, errors.Errorf("replay %s: %w", path, err))
		}
		fmt.Fprintf(s.out, "%s: %d events, %d actions, %d of %d outcomes hold\n", path,
			result.Events, result.Actions, result.Outcomes-len(result.Faults), result.Outcomes)
		for _, fault := range result.Faults {
			fmt.Fprintln(s.out, "  does not hold:", fault)
		}
		failed += len(result.Faults)
	}
	if failed > 0 {
		return newExitError(ExitFailed, errors.Newf("%d outcomes do not hold", failed))
	}
	return nil
}
