package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lentilrock.example/internal/logs/spooler"
	"lentilrock.example/platform"
)

// entryCommand is "lentilrock entry".
type entryCommand struct{}

// Run runs an entry host with the settings in the file that LENTILROCK_CONFIG names, until it receives a
// signal.
func (entryCommand) Run(s streams) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return newExitError(ExitUsage, err)
	}
	lines := spooler.New(s.out)
	defer lines.Close()
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), lines, zap.InfoLevel))
	host, err := platform.NewHost(settings, logger)
	if err != nil {
		return errors.Errorf("create entry host: %w", err)
	}
	hangUps, terminations, stop := notify()
	defer stop()
	return host.Run(context.Background(), hangUps, terminations)
}

// notify returns channels that receive SIGHUP, and the signals that end the process, until stop is called.
// A channel drops signals while it is full, so that a SIGHUP must not share one with a SIGTERM.
func notify() (hangUps, terminations chan os.Signal, stop func()) {
	hangUps, terminations = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGINT, syscall.SIGTERM)
	return hangUps, terminations, func() {
		signal.Stop(hangUps)
		signal.Stop(terminations)
	}
}
