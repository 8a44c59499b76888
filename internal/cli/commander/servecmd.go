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

type serveCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file (INI)."`
	Trace    bool   `help:"Print each event of the core to standard output, for replay."`
}

// Run runs an entry host until a signal ends it.
func (c serveCommand) Run(s streams) error {
	settings, faults := checker.Load(c.Settings)
	if err := checker.Join(faults); err != nil {
		return fail(ExitUsage, err)
	}
	logger, err := newLogger(settings.LogLevel, s)
	if err != nil {
		return errors.Errorf("open log: %w", err)
	}
	node, err := starter.New(starter.Options{
		Settings: settings, Logger: logger, Trace: c.tracer(s, logger),
	})
	if err != nil {
		return errors.Errorf("serve: %w", err)
	}
	// The second signal may come while the first is being handled.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	return node.Run(context.Background(), signals)
}

// tracer returns what prints the events, or nil.
func (c serveCommand) tracer(s streams, logger *zap.Logger) func(time.Time, signaller.Event) {
	if !c.Trace {
		return nil
	}
	return func(now time.Time, event signaller.Event) {
		line, err := replayer.EncodeLine(now, event)
		if err != nil {
			logger.Warn("serve: An event was not traced.", zap.String("error", err.Error()))
			return
		}
		fmt.Fprintln(s.out, string(line))
	}
}

func newLogger(level string, s streams) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("read level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(config), zapcore.AddSync(s.err), parsed)
	return zap.New(core), nil
}
