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
}

// NewLateStarts returns the record of late starts. Of very many it lists those that may be carried out last.
func NewLateStarts(l LateStarts) (Record, error) {
	l.Starts = l.Starts[max(len(l.Starts)-maxLateStarts, 0):]
	return record(lateStartsKey, l)
}

func (s *State) applyLateStarts(r Record, offset int64) error {
	var late LateStarts
	if err := cbor.Unmarshal(r.Value, &late); err != nil {
		return errors.Errorf("decode late starts: %w", err)
	}
	s.recordHolderOffset(late.Epoch, offset)
	if offset >= s.offsets[r.Key] {
		s.LateStarts, s.offsets[r.Key] = late.Starts, offset
	}
	return nil
}
