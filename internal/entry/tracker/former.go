package tracker

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/journaler"
)

// FormerRecords tells when the last record of former holders before a claim was read. All records of the
// claims are of holders, those of this host under an earlier claim included. The zero value has none.
// It is not safe for concurrent use.
type FormerRecords struct {
	// readAt is when the newest record of the claims was read.
	readAt time.Time
	// epoch is that of the newest claim, and seenAt when the last record before it was read.
	epoch  int64
	seenAt time.Time
}

// RecordRead records that a record was read.
func (f *FormerRecords) RecordRead(now time.Time) { f.readAt = now }

// RecordClaim records that a claim follows the records that were read so far. A repeat of the claim, or its
// release, changes nothing.
func (f *FormerRecords) RecordClaim(epoch int64) {
	if epoch > f.epoch {
		f.epoch, f.seenAt = epoch, f.readAt
	}
}

// SeenBefore returns when the last record before the claim of an epoch was read; zero if it is unknown.
func (f *FormerRecords) SeenBefore(epoch int64) time.Time {
	if f.epoch != epoch {
		return time.Time{}
	}
	return f.seenAt
}

// maxFormerHolders bounds the former claims that are kept.
const maxFormerHolders = 32

// FormerHolders tells until when the holders of former claims may act. The zero value knows of none. It is not safe for concurrent use.
type FormerHolders struct {
	claims []formerClaim
	// unknownAt is when a record was read that followed those of all holders that are not known; zero if there were none.
	unknownAt time.Time
}

// formerClaim is a claim, with the time at which the next one was read; zero for the newest.
type formerClaim struct {
	epoch      int64
	holder     journaler.Host
	replacedAt time.Time
}

// Record records the newest claim; epoch 0 stands for none.
func (f *FormerHolders) Record(claim journaler.Claim, now time.Time) {
	known := int64(0)
	if last := len(f.claims) - 1; last >= 0 {
		known = f.claims[last].epoch
	}
	if claim.Epoch <= known {
		return
	}
	if claim.Epoch > known+1 {
		// Claims between them were not read.
		f.unknownAt = now
	}
	if known > 0 {
		f.claims[len(f.claims)-1].replacedAt = now
	}
	f.claims = append(f.claims, formerClaim{epoch: claim.Epoch, holder: journaler.Host{Name: claim.Host, Address: claim.Address}})
	if len(f.claims) > maxFormerHolders {
		f.unknownAt = f.claims[0].replacedAt
		f.claims = slices.Delete(f.claims, 0, 1)
	}
}

// Former returns the holder whose claim that of an epoch has replaced, with its name and address, and the time after which no
// holder before it at another address acts. These act for no longer than their authority after the record of the next claim. It
// returns false if the holder or its address is not known.
func (f *FormerHolders) Former(epoch int64, authority time.Duration) (holder journaler.Host, earlierEnd time.Time, isKnown bool) {
	last := len(f.claims) - 1
	if last < 1 || f.claims[last].epoch != epoch || f.claims[last-1].holder.Address == "" {
		return holder, earlierEnd, false
	}
	holder = f.claims[last-1].holder
	if !f.unknownAt.IsZero() {
		earlierEnd = f.unknownAt.Add(authority)
	}
	for _, c := range f.claims[:last] {
		if end := c.replacedAt.Add(authority); c.holder.Address != holder.Address && end.After(earlierEnd) {
			earlierEnd = end
		}
	}
	return holder, earlierEnd, true
}

// Heartbeats tells when a new record of the holder was last read. The zero value has none. It is not safe for concurrent
// use.
type Heartbeats struct {
	At time.Time
	// next is the offset after that record.
	next int64
}

// Record records a read of the claims after which the newest record of the holder has an offset. The first read counts as
// one of a new record.
func (h *Heartbeats) Record(now time.Time, offset int64, isFirst bool) {
	if offset >= h.next || isFirst {
		h.At, h.next = now, offset+1
	}
}
