package applier

import (
	"fmt"
)

// Verdict is the result of applying a record at its offset.
type Verdict struct {
	// Applied reports whether the record changed the state.
	Applied bool `json:"applied"`
	// Reason is why the record had no effect; empty if it was applied.
	Reason string `json:"reason,omitempty"`
	// Before and After are the old and the new value, for the audit trail.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func applied() Verdict {
	return Verdict{Applied: true}
}

func changed(before, after string) Verdict {
	return Verdict{Applied: true, Before: before, After: after}
}

// rejected returns the verdict of a record without effect.
func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}
