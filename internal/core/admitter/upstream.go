package admitter

import (
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

// upstream is a service instance of the data centre.
type upstream struct {
	host descriptor.Host
	// busy counts the slots that this host has taken or that may still be in use.
	busy int
	// known reports that the upstream's load was read since this host took over.
	known   bool
	leaving bool
	// downUntil is when an upstream that could not be reached is tried again.
	downUntil time.Time
	// nextAsk is when the load is asked for again.
	nextAsk time.Time
	// ghosts counts the slots of dispatches whose end is not known.
	ghosts int
}

// limit returns how many requests the upstream takes at a time.
func (u *upstream) limit() int {
	if u.host.Connections > 0 {
		return min(u.host.Slots, u.host.Connections)
	}
	return u.host.Slots
}

func (u *upstream) hasSlot(now time.Time) bool {
	return u.known && !u.leaving && !now.Before(u.downUntil) && u.busy < u.limit()
}
