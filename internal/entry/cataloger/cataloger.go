// Package cataloger collects what operators and workers write to the platform's store: the
// configuration, the waves of upkeep (rolling maintenance of machines) and the host list, which
// is the list of workers. Entries that can't be decoded are logged and skipped; the others are
// applied. Of a configuration that can be read in part, the parts that can be read take effect.
//
// # Usage
//
//	c := cataloger.New(decoder, logger)
//	hasChanged := c.ApplyOperators(entries)
//	c.ApplyWorkers(entries, now)
//	workers := c.Workers()
package cataloger

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// maxReasons bounds the faults of a configuration that one line of the log names.
const maxReasons = 20

// Decoder decodes the entries that operators and workers write to the store.
type Decoder interface {
	// Config decodes a configuration; false if the key is not that of a configuration.
	Config(key string, value []byte) (describer.Config, bool, error)
	// Wave decodes a wave of upkeep; false if the key is not that of a wave.
	Wave(key string, value []byte) (describer.Wave, bool, error)
	// Worker decodes a worker's entry in the host list.
	Worker(id string, value []byte) (describer.Worker, error)
}

// Catalog has the newest configuration, the waves of upkeep and the host list. It is not safe
// for concurrent use.
type Catalog struct {
	// Config is the newest configuration; its version is 0 before the first.
	Config describer.Config
	// Faults counts the parts of the newest configuration that were replaced or left out.
	Faults int
	// Waves has the waves of upkeep by number.
	Waves map[int64]describer.Wave
	// ListedAt is when the host list was last read; zero before that.
	ListedAt time.Time

	decoder Decoder
	log     *zap.Logger
	workers map[string]listing
}

// listing is a worker with the offset of its entry.
type listing struct {
	worker describer.Worker
	offset int64
}

// New returns an empty catalog.
func New(decoder Decoder, log *zap.Logger) *Catalog {
	return &Catalog{
		Waves: make(map[int64]describer.Wave), decoder: decoder, log: log, workers: make(map[string]listing),
	}
}

// ApplyOperators applies entries of operators and reports whether one of them changed the
// configuration or added a wave.
func (c *Catalog) ApplyOperators(entries []storer.Entry) bool {
	hasChanged := false
	for _, e := range entries {
		hasNewConfig, configErr := c.applyConfig(e)
		hasNewWave, waveErr := c.applyWave(e)
		if err := errors.Join(configErr, waveErr); err != nil {
			c.log.Warn("config: Operator entry can't be decoded and is ignored.", zap.String("key", e.Key), zap.String("error", err.Error()))
		}
		hasChanged = hasChanged || hasNewConfig || hasNewWave
	}
	return hasChanged
}

// applyConfig replaces the configuration by one with a higher version.
func (c *Catalog) applyConfig(e storer.Entry) (bool, error) {
	config, found, err := c.decoder.Config(e.Key, e.Value)
	if err != nil || !found || config.Version <= c.Config.Version {
		return false, err
	}
	config, reasons := Complete(config, c.Config)
	c.Config, c.Faults = config, len(reasons)
	c.log.Info("config: New configuration is in effect.", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)),
		zap.Int("workspaces", len(config.Workspaces)))
	if len(reasons) > 0 {
		c.log.Warn("config: Parts of the configuration are not used. What the former version has under the same name stays in effect.",
			zap.Int64("version", config.Version), zap.Int("count", len(reasons)), zap.Strings("reasons", reasons[:min(len(reasons), maxReasons)]))
	}
	return true, nil
}

// applyWave adds a wave of upkeep. A wave never changes once it is known.
func (c *Catalog) applyWave(e storer.Entry) (bool, error) {
	wave, found, err := c.decoder.Wave(e.Key, e.Value)
	if _, isKnown := c.Waves[wave.Number]; err != nil || !found || isKnown {
		return false, err
	}
	c.Waves[wave.Number] = wave
	c.log.Info("upkeep: New wave was requested by an operator.", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)),
		zap.Duration("duration", wave.Duration), zap.Int("max_down", wave.MaxDown))
	return true, nil
}

// ResetWorkers replaces the host list; now becomes its ListedAt.
func (c *Catalog) ResetWorkers(entries []storer.Entry, now time.Time) {
	clear(c.workers)
	c.ApplyWorkers(entries, now)
}

// ApplyWorkers applies changes to the host list; now becomes its ListedAt. A worker whose entry
// is empty or can't be decoded is removed. An entry older than the known one changes nothing: later pages
// of a list are newer than the records from which the log is read on.
func (c *Catalog) ApplyWorkers(entries []storer.Entry, now time.Time) {
	c.ListedAt = now
	for _, e := range entries {
		if e.Offset < c.workers[e.Key].offset {
			continue
		}
		if len(e.Value) == 0 {
			delete(c.workers, e.Key)
			continue
		}
		w, err := c.decoder.Worker(e.Key, e.Value)
		if err != nil {
			delete(c.workers, e.Key)
			c.log.Warn("workers: Host list entry can't be decoded; the worker is not listed.", zap.String("worker", e.Key), zap.String("error", err.Error()))
			continue
		}
		c.workers[e.Key] = listing{worker: w, offset: e.Offset}
	}
}

// Size returns the number of workers in the host list.
func (c *Catalog) Size() int { return len(c.workers) }

// Workers returns the workers of the host list in no particular order.
func (c *Catalog) Workers() []describer.Worker {
	list := make([]describer.Worker, 0, len(c.workers))
	for _, l := range c.workers {
		list = append(list, l.worker)
	}
	return list
}
