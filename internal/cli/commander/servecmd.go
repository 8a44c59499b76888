package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lentilrock.example/internal/core/replayer"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/starter"
	"lentilrock.example/internal/settings/checker"
)

// serveCommand is "lentilrock serve".
type serveCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file (INI)."`
	Trace    bool   `help:"Print each event of the core to standard output, for replay."`
}

// Run runs an entry host until it receives a signal.
func (c serveCommand) Run(s streams) error {
	settings, faults := checker.Load(c.Settings)
	if err := checker.Join(faults); err != nil {
		return newExitError(ExitUsage, err)
	}
	logger, err := newLogger(settings.LogLevel, s)
	if err != nil {
		return errors.Errorf("create logger: %w", err)
	}
	node, err := starter.New(starter.Options{
		Settings: settings, Logger: logger, Trace: c.tracer(s, logger),
	})
	if err != nil {
		return errors.Errorf("create entry host: %w", err)
	}
	// The channel has a buffer, so that a second signal is not lost while the first is handled.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	return node.Run(context.Background(), signals)
}

// tracer returns the function that prints each event of the core as a line of a trace, or nil if tracing is
// off.
func (c serveCommand) tracer(s streams, logger *zap.Logger) func(time.Time, signaller.Event) {
	if !c.Trace {
		return nil
	}
	return func(now time.Time, event signaller.Event) {
		line, err := replayer.EncodeLine(now, event)
		if err != nil {
			logger.Warn("serve: Event missing from the trace, encoding failed.", zap.String("error", err.Error()))
			return
		}
		fmt.Fprintln(s.out, string(line))
	}
}

// newLogger returns a logger that writes lines of the given level and above to standard error.
func newLogger(level string, s streams) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("parse log level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(config), zapcore.AddSync(s.err), parsed)
	return zap.New(core), nil
}
