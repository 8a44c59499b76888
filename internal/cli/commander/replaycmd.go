package commander

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/core/replayer"
)

type replayCommand struct {
	Traces []string `arg:"" help:"Recorded traces."`
}

// Run plays each trace and reports the outcomes that did not hold.
func (c replayCommand) Run(s streams) error {
	failed := 0
	for _, path := range c.Traces {
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Errorf("read trace: %w", err)
		}
		result, err := replayer.Play(data)
		if err != nil {
			return fail(ExitUsage, errors.Errorf("replay %s: %w", path, err))
		}
		fmt.Fprintf(s.out, "%s: %d events, %d actions, %d of %d outcomes hold\n", path,
			result.Events, result.Actions, result.Outcomes-len(result.Faults), result.Outcomes)
		for _, fault := range result.Faults {
			fmt.Fprintln(s.out, "  does not hold:", fault)
		}
		failed += len(result.Faults)
	}
	if failed > 0 {
		return fail(ExitFailed, errors.Newf("%d outcomes do not hold", failed))
	}
	return nil
}
