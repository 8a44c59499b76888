package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/fleet/describer"
)

const (
	lateStartsKey = "l"
	// maxLateStarts bounds the starts that are listed, so that the record stays well below the largest one.
	maxLateStarts = 1024
)

// LateStart is a start without a reply that its worker may still carry out.
type LateStart struct {
	Worker     string          `cbor:"1,keyasint"`
	Job        describer.JobID `cbor:"2,keyasint"`
	Occurrence int             `cbor:"3,keyasint,omitempty"`
	Step       int             `cbor:"4,keyasint,omitempty"`
	Index      int             `cbor:"5,keyasint,omitempty"`
	Run        int64           `cbor:"6,keyasint"`
	// Remaining is for how long after the record was written the start may be carried out.
	Remaining time.Duration `cbor:"7,keyasint"`
}

// Ref returns the reference of the task.
func (l LateStart) Ref() describer.TaskRef {
	return describer.TaskRef{Job: l.Job, Occurrence: l.Occurrence, Step: l.Step, Index: l.Index}
}

// LateStarts lists the starts of a holder, and of those before it, that may still be carried out.
type LateStarts struct {
	Epoch  int64       `cbor:"1,keyasint"`
	Starts []LateStart `cbor:"2,keyasint"`
	// Omitted is for how long after the record was written a start may be carried out that it does not list; 0 if it lists all.
	Omitted time.Duration `cbor:"3,keyasint,omitempty"`
}

// NewLateStarts returns the record of late starts, which are in ascending order of their remaining time. Of very many it lists
// those that may be carried out last.
func NewLateStarts(l LateStarts) (Record, error) {
	if omitted := len(l.Starts) - maxLateStarts; omitted > 0 {
		l.Omitted = max(l.Omitted, l.Starts[omitted-1].Remaining)
		l.Starts = l.Starts[omitted:]
	}
	return record(lateStartsKey, l)
}

func (s *State) applyLateStarts(r Record, offset int64) error {
	var late LateStarts
	if err := cbor.Unmarshal(r.Value, &late); err != nil {
		return errors.Errorf("decode late starts: %w", err)
	}
	s.recordHolderOffset(late.Epoch, offset)
	if offset >= s.offsets[r.Key] {
		s.LateStarts, s.OmittedLateStarts, s.offsets[r.Key] = late.Starts, late.Omitted, offset
	}
	return nil
}
