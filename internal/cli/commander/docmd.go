package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/peer/speaker"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/query/tabler"
)

// doCommand is "lentilrock do".
type doCommand struct {
	target
	Statement []string      `arg:"" optional:"" help:"Statement; without one, statements are read from standard input, one a line."`
	Format    string        `enum:"table,json" default:"table" help:"Format of rows: table or json."`
	ID        string        `help:"Identifier of the change; makes a retry after a lost response safe."`
	Watch     time.Duration `help:"Interval at which to repeat the statement."`
}

// Run runs the statement from the arguments, repeatedly if Watch is set, or the statements on standard
// input if there is none.
func (c doCommand) Run(s streams) error {
	if len(c.Statement) == 0 {
		return c.runScript(s)
	}
	statement := strings.Join(c.Statement, " ")
	clock := clockwork.NewRealClock()
	for {
		if err := c.runOne(s, statement); err != nil || c.Watch <= 0 {
			return err
		}
		clock.Sleep(c.Watch)
		fmt.Fprintln(s.out)
	}
}

// runScript runs each line of standard input as a statement; empty lines and lines that begin with "#" are
// skipped. It continues after a failed statement. Unless the input is a terminal, it then returns an
// error with the exit status of the first failure.
func (c doCommand) runScript(s streams) error {
	isInteractive := isTerminal(s.in)
	var firstErr error
	scanner := bufio.NewScanner(s.in)
	for {
		if isInteractive {
			fmt.Fprint(s.out, "lentilrock> ")
		}
		if !scanner.Scan() {
			break
		}
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.runOne(s, line); err != nil {
			fmt.Fprintln(s.err, "lentilrock:", err)
			if firstErr == nil {
				firstErr = err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Errorf("read statements: %w", err)
	}
	if firstErr != nil && !isInteractive {
		return newExitError(exitStatus(firstErr), errors.New("some statements failed"))
	}
	return nil
}

// exitStatus returns the exit status of an error, ExitFailed if it has none.
func exitStatus(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return ExitFailed
}

// isTerminal reports whether the input is a character device, which is taken for a terminal.
func isTerminal(in io.Reader) bool {
	file, ok := in.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// runOne runs one statement and prints its reply. It returns an error if the statement failed or any of its
// changes was not applied.
func (c doCommand) runOne(s streams, statement string) error {
	reply, err := c.execute(context.Background(), executor.Command{Text: statement, ID: c.ID})
	if err != nil {
		return errors.Errorf("run statement: %w", err)
	}
	if reply.Error != "" {
		return newExitError(ExitUsage, errors.New(reply.Error))
	}
	if err := c.print(s, reply); err != nil {
		return err
	}
	return outcomeError(reply)
}

// print writes the outcomes and rows of a reply in the selected format.
func (c doCommand) print(s streams, reply executor.Reply) error {
	if c.Format == tabler.FormatJSON {
		return errors.Wrap(json.NewEncoder(s.out).Encode(reply), "write reply as JSON")
	}
	for _, o := range reply.Outcomes {
		fmt.Fprintf(s.out, "%s: %s", o.ID, o.State)
		if o.State == speaker.OutcomeApplied {
			fmt.Fprintf(s.out, " at offset %d", o.Offset)
		}
		if o.Reason != "" {
			fmt.Fprintf(s.out, " (%s)", o.Reason)
		}
		fmt.Fprintln(s.out)
	}
	if len(reply.Table.Columns) == 0 && len(reply.Table.Missing) == 0 {
		return nil
	}
	return errors.Wrap(reply.Table.Print(s.out, tabler.FormatTable), "print rows")
}

// outcomeError returns an error for the first change that was not applied, or nil if all were.
func outcomeError(reply executor.Reply) error {
	for _, o := range reply.Outcomes {
		switch o.State {
		case speaker.OutcomeApplied:
		case speaker.OutcomeNotKnownYet:
			return newExitError(ExitNotKnown, errors.Newf("outcome of change %s is not known yet", o.ID))
		default:
			return newExitError(ExitFailed, errors.Newf("change %s was %s: %s", o.ID, o.State, o.Reason))
		}
	}
	return nil
}
