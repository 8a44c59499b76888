package applier

import (
	"fmt"
)

// Verdict says what became of a record at its offset.
type Verdict struct {
	// Applied reports whether the record changed the state.
	Applied bool `json:"applied"`
	// Reason says why the record had no effect.
	Reason string `json:"reason,omitempty"`
	// Before and After give the changed value, for the audit trail.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func applied() Verdict {
	return Verdict{Applied: true}
}

func changed(before, after string) Verdict {
	return Verdict{Applied: true, Before: before, After: after}
}

func void(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}
