// Package cataloger keeps what operators and workers write into the platform's store: the
// configuration, the waves of upkeep and the host list. Entries that can't be read are
// skipped with a line in the log; the others hold.
//
// # Usage
//
//	c := cataloger.New(decoder, logger)
//	isNew := c.TakeOperators(entries)
//	c.TakeWorkers(entries, now)
//	workers := c.Workers()
package cataloger

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// Decoder reads the entries that others write into the store.
type Decoder interface {
	// Config returns false where a key holds no configuration.
	Config(key string, value []byte) (describer.Config, bool, error)
	// Wave returns false where a key holds no wave of upkeep.
	Wave(key string, value []byte) (describer.Wave, bool, error)
	Worker(id string, value []byte) (describer.Worker, error)
}

// Catalog is what others have written. Its caller guards it.
type Catalog struct {
	// Config is the newest configuration; its version is 0 before the first.
	Config describer.Config
	// Waves are the waves of upkeep, by number.
	Waves map[int64]describer.Wave
	// ListedAt is when the host list was last read; zero before that.
	ListedAt time.Time

	decoder Decoder
	log     *zap.Logger
	listed  map[string]describer.Worker
}

// New returns an empty catalog.
func New(decoder Decoder, log *zap.Logger) *Catalog {
	return &Catalog{
		Waves: make(map[int64]describer.Wave), decoder: decoder, log: log, listed: make(map[string]describer.Worker),
	}
}

// TakeOperators takes in entries of operators and reports whether one of them changed
// anything.
func (c *Catalog) TakeOperators(entries []storer.Entry) bool {
	isNew := false
	for _, e := range entries {
		isConfigNew, configErr := c.takeConfig(e)
		isWaveNew, waveErr := c.takeWave(e)
		if err := errors.Join(configErr, waveErr); err != nil {
			c.log.Warn("config: An entry was ignored.", zap.String("key", e.Key), zap.String("error", err.Error()))
		}
		isNew = isNew || isConfigNew || isWaveNew
	}
	return isNew
}

// takeConfig takes in a later configuration.
func (c *Catalog) takeConfig(e storer.Entry) (bool, error) {
	config, found, err := c.decoder.Config(e.Key, e.Value)
	if err != nil || !found || config.Version <= c.Config.Version {
		return false, err
	}
	c.Config = config
	c.log.Info("config: In force.", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
	return true, nil
}

// takeWave takes in a wave of upkeep; one that is known stays as it is.
func (c *Catalog) takeWave(e storer.Entry) (bool, error) {
	wave, found, err := c.decoder.Wave(e.Key, e.Value)
	if _, isKnown := c.Waves[wave.Number]; err != nil || !found || isKnown {
		return false, err
	}
	c.Waves[wave.Number] = wave
	c.log.Info("upkeep: A wave was asked for.", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)),
		zap.Duration("duration", wave.Duration), zap.Int("max_down", wave.MaxDown))
	return true, nil
}

// ResetWorkers takes in the whole host list.
func (c *Catalog) ResetWorkers(entries []storer.Entry, now time.Time) {
	clear(c.listed)
	c.TakeWorkers(entries, now)
}

// TakeWorkers takes in changes of the host list.
func (c *Catalog) TakeWorkers(entries []storer.Entry, now time.Time) {
	c.ListedAt = now
	for _, e := range entries {
		if len(e.Value) == 0 {
			delete(c.listed, e.Key)
			continue
		}
		w, err := c.decoder.Worker(e.Key, e.Value)
		if err != nil {
			delete(c.listed, e.Key)
			c.log.Warn("workers: An entry was ignored.", zap.String("worker", e.Key), zap.String("error", err.Error()))
			continue
		}
		c.listed[e.Key] = w
	}
}

// Size returns how many workers are listed.
func (c *Catalog) Size() int { return len(c.listed) }

// Workers returns the host list.
func (c *Catalog) Workers() []describer.Worker {
	list := make([]describer.Worker, 0, len(c.listed))
	for _, w := range c.listed {
		list = append(list, w)
	}
	return list
}
