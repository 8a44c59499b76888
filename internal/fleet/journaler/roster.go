package journaler

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	rosterKey        = "w"
	rosterPartPrefix = "w/"
	// rosterParts is the number of records of a roster with over maxWholeRoster workers. It is fixed, so that
	// a worker stays in the same part.
	rosterParts    = 16
	maxWholeRoster = 2000
)

// Member is a worker on which runs of the holder may be active.
type Member struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	// IsClosed reports that the worker was unresponsive or about to leave. The persisted progress of the
	// jobs then lists every run that may be active on it, since no others were started there.
	IsClosed bool `cbor:"3,keyasint,omitempty"`
	// Incarnation is the one that the holder knew; 0 if it knew none. HasLongestLease reports that it may have the
	// longest lease that a worker accepts, as it had just begun.
	Incarnation     int64 `cbor:"4,keyasint,omitempty"`
	HasLongestLease bool  `cbor:"5,keyasint,omitempty"`
}

// Roster lists the workers on which runs of the holder may be active. A live worker can be missing
// from the host list, and a successor must poll its inventory nevertheless.
type Roster struct {
	Epoch   int64    `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
	// Parts is the number of records that list the workers; 0 if this one lists all of them.
	Parts int `cbor:"3,keyasint,omitempty"`
}

// NewRoster returns the records of a roster. A large one is in parts that don't depend on each other: a worker is
// always in the same one, and the first record, which says how many there are, comes last.
func NewRoster(r Roster) ([]Record, error) {
	if len(r.Members) <= maxWholeRoster {
		whole, err := record(rosterKey, r)
		return []Record{whole}, err
	}
	var parts [rosterParts]Roster
	for _, m := range r.Members {
		part := &parts[xxhash.Sum64String(m.ID)%rosterParts]
		part.Members = append(part.Members, m)
	}
	var records []Record
	for i := len(parts) - 1; i >= 0; i-- {
		parts[i].Epoch, parts[i].Parts = r.Epoch, rosterParts
		next, err := record(rosterPartKey(i), parts[i])
		if err != nil {
			return nil, errors.Errorf("part %d of a roster of %d workers: %w", i, len(r.Members), err)
		}
		records = append(records, next)
	}
	return records, nil
}

// rosterPartKey returns the key of a part of a roster.
func rosterPartKey(part int) string {
	if part == 0 {
		return rosterKey
	}
	return rosterPartPrefix + strconv.Itoa(part)
}

// IsRoster reports whether a record is a roster or a part of one.
func IsRoster(r Record) bool { return r.Key == rosterKey || strings.HasPrefix(r.Key, rosterPartPrefix) }

// Members returns the workers of the newest roster.
func (s *State) Members() []Member {
	var members []Member
	for i := range max(s.rosters[0].Parts, 1) {
		members = append(members, s.rosters[i].Members...)
	}
	return members
}

// RosterEpoch returns the epoch under which the newest roster was written; of its parts, the newest one.
func (s *State) RosterEpoch() int64 {
	epoch := int64(0)
	for i := range max(s.rosters[0].Parts, 1) {
		epoch = max(epoch, s.rosters[i].Epoch)
	}
	return epoch
}

func (s *State) applyRoster(r Record, offset int64) error {
	part := 0
	if suffix, found := strings.CutPrefix(r.Key, rosterPartPrefix); found {
		n, err := strconv.Atoi(suffix)
		if err != nil || n <= 0 || n >= rosterParts {
			return errors.Errorf("key %q is that of no part of a roster", r.Key)
		}
		part = n
	}
	var roster Roster
	if err := cbor.Unmarshal(r.Value, &roster); err != nil {
		return errors.Errorf("decode roster: %w", err)
	}
	if roster.Parts < 0 || roster.Parts > rosterParts {
		return errors.Errorf("a roster has %d parts, outside 0 to %d", roster.Parts, rosterParts)
	}
	s.recordHolderOffset(roster.Epoch, offset)
	if offset >= s.offsets[r.Key] {
		s.rosters[part], s.offsets[r.Key] = roster, offset
	}
	return nil
}
