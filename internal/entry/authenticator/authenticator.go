// Package authenticator decides which workspace a call belongs to and which jobs it may reach. It keeps the keys of a
// configuration as digests, in an index that is built once for each version.
//
// The load it handles: each call of a caller needs one look-up, on a host with a fraction of a core, among 2,000
// workspaces with two keys each, so that a look-up must not scan them. Nothing waits here, and no other host is asked:
// each host decides by the newest configuration that it has read.
//
// # Usage
//
//	x := authenticator.New(config)
//	caller, err := x.Identify(queue, key)
//	if caller.MayReach(job.Workspace) { ... }
package authenticator

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/describer"
)

// Errors of calls that need a workspace's key. Their texts reach callers.
var (
	// ErrNoKey means that the call has no key.
	ErrNoKey = errors.New("this queue requires the key of a workspace")
	// ErrUnknownKey means that no workspace has the call's key.
	ErrUnknownKey = errors.New("no workspace has this key")
)

// Caller is the origin of a call. The zero value belongs to no workspace and reaches the jobs without one.
type Caller struct {
	// Workspace is the name of the caller's workspace; empty if it has none.
	Workspace      string
	isUnrestricted bool
}

// Unrestricted returns a caller without a workspace that may reach every job.
func Unrestricted() Caller { return Caller{isUnrestricted: true} }

// MayReach reports whether the caller may read or cancel jobs of a workspace; an empty name means jobs without one.
func (c Caller) MayReach(workspace string) bool {
	return c.isUnrestricted || workspace == "" || workspace == c.Workspace
}

// Index finds the workspace of a key. It does not change and is safe for concurrent use.
type Index struct {
	isKeyRequired bool
	// entries are the keys by the first bytes of their digests.
	entries map[uint64][]entry
}

type entry struct {
	digest    describer.KeyDigest
	workspace string
}

// New returns the index of a configuration. A key that is listed again opens nothing for a further workspace.
func New(config describer.Config) *Index {
	x := &Index{isKeyRequired: config.RequiresKeys || len(config.Workspaces) > 0, entries: make(map[uint64][]entry)}
	for _, w := range config.Workspaces {
		if w.Name == "" {
			continue
		}
		for _, digest := range w.Keys {
			if _, found := x.find(digest); !found {
				x.entries[prefixOf(digest)] = append(x.entries[prefixOf(digest)], entry{digest: digest, workspace: w.Name})
			}
		}
	}
	return x
}

func prefixOf(digest describer.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

// find returns the workspace of a key's digest. Digests are compared in constant time, so that the time of a refusal
// does not tell how much of a digest is right.
func (x *Index) find(digest describer.KeyDigest) (string, bool) {
	workspace, found := "", false
	for _, e := range x.entries[prefixOf(digest)] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			workspace, found = e.workspace, true
		}
	}
	return workspace, found
}

// Identify returns the origin of a call to a queue with a key, which is empty if the call has none. Without workspaces,
// keys are ignored. On a public queue, a call without a key, or with one that no workspace has, belongs to no workspace;
// on another queue the error is ErrNoKey or ErrUnknownKey.
func (x *Index) Identify(queue describer.Queue, key string) (Caller, error) {
	if !x.isKeyRequired {
		return Unrestricted(), nil
	}
	if key != "" {
		if workspace, found := x.find(describer.DigestOf(key)); found {
			return Caller{Workspace: workspace}, nil
		}
	}
	switch {
	case queue.IsPublic:
		return Caller{}, nil
	case key == "":
		return Caller{}, ErrNoKey
	}
	return Caller{}, ErrUnknownKey
}
