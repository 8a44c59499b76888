// Package commander is the command line of lentilrock, one file for each command.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:]))
package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit statuses.
const (
	// ExitOK is the status of a command that did all of its work.
	ExitOK = 0
	// ExitFailed is the status of a command that was refused, lost or cut short.
	ExitFailed = 1
	// ExitUsage is the status of wrong arguments or settings.
	ExitUsage = 2
	// ExitNotKnown is the status of a command whose outcome is not known yet.
	ExitNotKnown = 3
)

type commands struct {
	Check   checkCommand   `cmd:"" help:"Check a settings file and report every fault."`
	Do      doCommand      `cmd:"" help:"Run statements of the query and command language."`
	Entry   entryCommand   `cmd:"" help:"Run an entry host on the platform that fills in its settings."`
	Replay  replayCommand  `cmd:"" help:"Play recorded traces and check their outcomes."`
	Request requestCommand `cmd:"" help:"Send a request to a service as a caller."`
	Serve   serveCommand   `cmd:"" help:"Run an entry host."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError ends the program with a status, after its message.
type exitError struct {
	status int
	err    error
}

// Error returns the message.
func (e exitError) Error() string { return e.err.Error() }

func fail(status int, err error) error { return exitError{status: status, err: err} }

// Main runs the command line and returns the exit status.
func Main(arguments []string) int {
	return run(arguments, streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}

func run(arguments []string, s streams) int {
	var c commands
	status := -1
	parser, err := kong.New(&c, kong.Name("lentilrock"), kong.Writers(s.out, s.err),
		kong.Description("A cluster scheduler for unlike workloads. "+
			"Exit status 0: done; 1: refused, lost or cut short; 2: wrong arguments or settings; 3: not known yet."),
		kong.Exit(func(code int) { status = code }), kong.Bind(s))
	if err != nil {
		fmt.Fprintln(s.err, "lentilrock:", err)
		return ExitUsage
	}
	ctx, err := parser.Parse(arguments)
	if status >= 0 {
		// Help was printed.
		return status
	}
	if err != nil {
		fmt.Fprintln(s.err, "lentilrock:", err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		return report(s, err)
	}
	return ExitOK
}

func report(s streams, err error) int {
	fmt.Fprintln(s.err, "lentilrock:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return ExitFailed
}
