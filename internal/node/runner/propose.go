package runner

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/validator"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/peer/speaker"
)

// proposeTimeout bounds the wait for the result of a proposal.
const proposeTimeout = 5 * time.Second

// NewID returns an identifier that is unique across hosts and their incarnations.
func (r *Runner) NewID() string {
	return r.self.Name + "." + r.self.Incarnation + "." + strconv.FormatUint(r.nextRef.Add(1), 36)
}

// Propose appends a change to the log and waits until this host reads it back, as applied or as rejected (state lost).
// A change with another home data centre is forwarded to a host there. Failures are returned in the outcome.
func (r *Runner) Propose(ctx context.Context, p speaker.Proposal) speaker.Outcome {
	stream, home, err := r.streamOf(p)
	if err != nil {
		return speaker.Outcome{ID: p.ID, State: speaker.OutcomeRefused, Reason: err.Error()}
	}
	if home != "" && home != r.options.Settings.DataCentre {
		return r.forwardProposal(ctx, home, p)
	}
	if p.Submit != nil {
		if err := r.checkJob(ctx, p.Submit.Job); err != nil {
			return r.refuseJob(ctx, p, err)
		}
	}
	return r.appendProposal(ctx, stream, p)
}

// refuseJob refuses a job. A job that can never run is still appended to the log, for a durable record of the refusal.
func (r *Runner) refuseJob(ctx context.Context, p speaker.Proposal, reason error) speaker.Outcome {
	if errors.Is(reason, validator.ErrImpossible) {
		// The holder of the shard closes the job as refused, with the reason, when it applies the record.
		outcome := r.appendProposal(ctx, recorder.DataCentreStream(r.options.Settings.DataCentre), p)
		if outcome.State == speaker.OutcomeNotKnownYet {
			return outcome
		}
	}
	return speaker.Outcome{ID: p.ID, State: speaker.OutcomeRefused, Reason: reason.Error()}
}

// streamOf returns the stream of a proposal and the data centre whose hosts must append it; home is empty if any host
// may. It returns an error for a proposal without a valid body.
func (r *Runner) streamOf(p speaker.Proposal) (stream, home string, err error) {
	layout := r.options.Settings.Layout
	switch {
	case p.Config != nil:
		return recorder.ConfigStream, "", nil
	case p.Submit != nil:
		if err := p.Submit.Job.Check(); err != nil {
			return "", "", err
		}
		home = layout.Home(string(p.Submit.Job.ID))
	case p.Close != nil && len(p.Close.Jobs) > 0:
		home = layout.Home(string(p.Close.Jobs[0]))
	default:
		return "", "", errors.New("the proposal is empty")
	}
	return recorder.DataCentreStream(home), home, nil
}

func (r *Runner) forwardProposal(ctx context.Context, home string, p speaker.Proposal) speaker.Outcome {
	outcome := speaker.Outcome{
		ID: p.ID, State: speaker.OutcomeRefused,
		Reason: "no host of the home data centre " + home + " can be reached",
	}
	for _, entry := range r.entriesOf(home) {
		reply, err := messenger.Call[speaker.Proposal, speaker.Outcome](ctx, r.options.Messenger, entry.Address, speaker.CallPropose, p)
		if err == nil {
			return reply
		}
		if errors.Is(err, messenger.ErrLost) {
			outcome.State = speaker.OutcomeNotKnownYet
			outcome.Reason = "the reply of " + entry.Name + " was lost; ask again under the same id"
			return outcome
		}
	}
	return outcome
}

// checkJob returns an error if the cell cannot run a job, or if ctx ends before the check.
func (r *Runner) checkJob(ctx context.Context, job descriptor.Job) error {
	err := errors.New("the host is stopping")
	r.Inspect(ctx, func(d *decider.Decider) { err = validator.Check(job, d.Cell()) })
	return err
}

func recordOf(p speaker.Proposal, now time.Time) recorder.Record {
	var body recorder.Body
	switch {
	case p.Config != nil:
		body = *p.Config
	case p.Submit != nil:
		body = *p.Submit
	case p.Close != nil:
		body = *p.Close
	}
	return recorder.New(p.ID, now, p.Author, body)
}

// appendProposal appends a proposal to its stream and waits up to proposeTimeout for the result.
func (r *Runner) appendProposal(ctx context.Context, stream string, p speaker.Proposal) speaker.Outcome {
	result := make(chan signaller.Settled, 1)
	r.mu.Lock()
	r.proposals[p.ID] = result
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.proposals, p.ID)
		r.mu.Unlock()
	}()
	record := recordOf(p, r.options.Clock.Now())
	if !r.Put(ctx, signaller.Proposed{Stream: stream, Records: []recorder.Record{record}}) {
		return speaker.Outcome{ID: p.ID, State: speaker.OutcomeRefused, Reason: "the host is stopping"}
	}
	timer := r.options.Clock.NewTimer(proposeTimeout)
	defer timer.Stop()
	select {
	case s := <-result:
		return outcomeOf(p.ID, s)
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return speaker.Outcome{
		ID: p.ID, State: speaker.OutcomeNotKnownYet,
		Reason: "the log did not answer in time; look for the id in the audit trail",
	}
}

func outcomeOf(id string, s signaller.Settled) speaker.Outcome {
	outcome := speaker.Outcome{ID: id, Offset: s.Offset, Verdict: s.Verdict, Reason: s.Verdict.Reason}
	switch {
	case s.Failed:
		outcome.State = speaker.OutcomeRefused
		outcome.Reason = "the platform's log is down"
	case s.Verdict.Applied:
		outcome.State = speaker.OutcomeApplied
	default:
		outcome.State = speaker.OutcomeLost
	}
	return outcome
}
