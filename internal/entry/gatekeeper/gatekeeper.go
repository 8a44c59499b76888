// Package gatekeeper applies the newest configuration that a host has read to the calls of callers: it finds the queue
// of a call and the workspace of its key.
//
// # Usage
//
//	g := gatekeeper.New()
//	g.Apply(config)
//	queue, rest, err := g.Route(host, path)
//	caller, err := g.Identify(queue, key)
package gatekeeper

import (
	"sync"

	"lentilrock.example/internal/entry/authenticator"
	"lentilrock.example/internal/entry/clerk"
	"lentilrock.example/internal/entry/resolver"
	"lentilrock.example/internal/fleet/describer"
)

// Gatekeeper has the newest configuration and the index of its keys. It is safe for concurrent use.
type Gatekeeper struct {
	mu     sync.Mutex
	config describer.Config
	keys   *authenticator.Index
}

// New returns a Gatekeeper without a configuration.
func New() *Gatekeeper { return &Gatekeeper{} }

// Apply replaces the configuration by one with a higher version and indexes its keys.
func (g *Gatekeeper) Apply(config describer.Config) {
	if config.Version <= g.Config().Version {
		return
	}
	keys := authenticator.New(config)
	g.mu.Lock()
	defer g.mu.Unlock()
	if config.Version > g.config.Version {
		g.config, g.keys = config, keys
	}
}

// Config returns the newest configuration; its version is 0 before the first is read.
func (g *Gatekeeper) Config() describer.Config {
	config, _ := g.current()
	return config
}

func (g *Gatekeeper) current() (describer.Config, *authenticator.Index) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config, g.keys
}

// Route returns the queue for a request and the rest of its path after the queue's prefix. Of
// the queues of the host, the one with the longest matching prefix wins. Errors wrap clerk.ErrNotReady before
// the configuration is read, or resolver.ErrJobNotFound if no queue matches.
func (g *Gatekeeper) Route(host, path string) (describer.Queue, string, error) {
	config := g.Config()
	if config.Version == 0 {
		return describer.Queue{}, "", clerk.ErrNotReady
	}
	queue, rest, found := config.Route(host, path)
	if !found {
		return queue, "", resolver.ErrJobNotFound
	}
	return queue, rest, nil
}

// Identify returns the origin of a call to a queue with a key, which is empty if the call has none. Errors are
// clerk.ErrNotReady before the configuration is read or those of authenticator.Index.
func (g *Gatekeeper) Identify(queue describer.Queue, key string) (authenticator.Caller, error) {
	_, keys := g.current()
	if keys == nil {
		return authenticator.Caller{}, clerk.ErrNotReady
	}
	return keys.Identify(queue, key)
}
