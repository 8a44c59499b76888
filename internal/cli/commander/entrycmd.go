package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"lentilrock.example/platform"
)

type entryCommand struct{}

// Run runs an entry host on the users' platform until a signal ends it.
func (entryCommand) Run(s streams) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return fail(ExitUsage, err)
	}
	logger, err := newLogger("info", streams{err: s.out})
	if err != nil {
		return errors.Errorf("open log: %w", err)
	}
	host, err := platform.NewHost(settings, logger)
	if err != nil {
		return errors.Errorf("entry: %w", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	return host.Run(context.Background(), signals)
}
