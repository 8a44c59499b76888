package coordinator

import "time"

// formerRecords tells when the last record of former holders before a claim was read. All records of the
// claims are of holders, those of this host under an earlier claim included. The zero value has none.
type formerRecords struct {
	// readAt is when the newest record of the claims was read.
	readAt time.Time
	// epoch is that of the newest claim, and seenAt when the last record before it was read.
	epoch  int64
	seenAt time.Time
}

// recordRead records that a record was read.
func (f *formerRecords) recordRead(now time.Time) { f.readAt = now }

// recordClaim records that a claim follows the records that were read so far. A repeat of the claim, or its
// release, changes nothing.
func (f *formerRecords) recordClaim(epoch int64) {
	if epoch > f.epoch {
		f.epoch, f.seenAt = epoch, f.readAt
	}
}

// seenBefore returns when the last record before the claim of an epoch was read; zero if it is unknown.
func (f *formerRecords) seenBefore(epoch int64) time.Time {
	if f.epoch != epoch {
		return time.Time{}
	}
	return f.seenAt
}
