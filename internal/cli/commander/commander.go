// Package commander implements the command line of lentilrock. Each command has its own file.
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

// Exit statuses of the process.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command was refused, lost against a concurrent change, or did not complete.
	ExitFailed = 1
	// ExitUsage means that arguments, statements or settings were invalid.
	ExitUsage = 2
	// ExitNotKnown means that the outcome of the command is not known yet.
	ExitNotKnown = 3
)

// commands are the subcommands, with their arguments and flags.
type commands struct {
	Check   checkCommand   `cmd:"" help:"Check a settings file or a configuration and report every fault."`
	Do      doCommand      `cmd:"" help:"Run statements of the query and command language."`
	Entry   entryCommand   `cmd:"" help:"Run an entry host on the platform that fills in its settings."`
	Replay  replayCommand  `cmd:"" help:"Replay recorded traces and check their outcomes."`
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

// exitError is an error with the exit status that the process ends with.
type exitError struct {
	status int
	err    error
}

// Error returns the message of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// newExitError returns err with an exit status.
func newExitError(status int, err error) error { return exitError{status: status, err: err} }

// Main runs the command line with the given arguments, without the program name, and returns the exit
// status.
func Main(arguments []string) int {
	return run(arguments, streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}

// run runs the command line with the given standard streams and returns the exit status.
func run(arguments []string, s streams) int {
	var c commands
	// status stays -1 unless the parser requests an exit.
	status := -1
	parser, err := kong.New(&c, kong.Name("lentilrock"), kong.Writers(s.out, s.err),
		kong.Description("A cluster scheduler for mixed workloads. "+
			"Exit status 0: done; 1: refused, lost or cut short; 2: wrong arguments or settings; 3: not known yet."),
		kong.Exit(func(code int) { status = code }), kong.Bind(s))
	if err != nil {
		fmt.Fprintln(s.err, "lentilrock:", err)
		return ExitUsage
	}
	ctx, err := parser.Parse(arguments)
	if status >= 0 {
		// The parser has printed the help.
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

// report prints an error and returns its exit status, ExitFailed if it has none.
func report(s streams, err error) int {
	fmt.Fprintln(s.err, "lentilrock:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return ExitFailed
}
