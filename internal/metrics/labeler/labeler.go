// Package labeler bounds the number of values of a metric's label, such as the names of workspaces. Each value is a
// series of its own, which stays for the life of the process.
//
// # Usage
//
//	l := labeler.New(100)
//	scope.Tagged(map[string]string{"workspace": l.Label(name)}).Counter("submissions").Inc(1)
package labeler

import "sync"

const (
	// Other is the label of the names beyond the bound.
	Other = "other"
	// None is the label of the empty name.
	None = "none"
	// maxLabelBytes bounds the length of a label.
	maxLabelBytes = 64
)

// Labeler returns labels for names. It is safe for concurrent use.
type Labeler struct {
	mu      sync.Mutex
	max     int
	isLabel map[string]bool
}

// New returns a Labeler with a bound on the number of names that have a label of their own.
func New(maxNames int) *Labeler { return &Labeler{max: maxNames, isLabel: make(map[string]bool)} }

// Label returns the label of a name: the name itself for the first names, and Other for those beyond the bound or too
// long.
func (l *Labeler) Label(name string) string {
	if name == "" {
		return None
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.isLabel[name]:
		return name
	case len(l.isLabel) >= l.max || len(name) > maxLabelBytes:
		return Other
	}
	l.isLabel[name] = true
	return name
}
