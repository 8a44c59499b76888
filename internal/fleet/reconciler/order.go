package reconciler

import (
	"time"

	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/tasker"
)

// StopAll stops all runs of a job. The dispatcher removes the job once no run is left.
func (s *Reconciler) StopAll(j *tasker.Job) {
	for r := range j.Runs {
		s.Stop(r)
	}
}

// Stop orders the worker of a run to stop it, unless the run is being stopped already.
func (s *Reconciler) Stop(r *tasker.Run) {
	if r.Stopping {
		return
	}
	r.Stopping = true
	s.SendStop(r)
}

// SendStop issues the stop order for a run that is being stopped, for the first time or again.
func (s *Reconciler) SendStop(r *tasker.Run) {
	w, found := s.Workers[r.Worker]
	if !found {
		return
	}
	r.StopSentAt = s.Now
	s.Order(orderer.Stop{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: s.Options.Epoch, SentAt: s.Now})
}

// StartAnswered applies the verdict on a start.
func (s *Reconciler) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	s.Now = now
	w, r := s.RunAt(start.Worker.ID, start.Task, start.Run)
	if w != nil {
		w.StartEnded()
		if verdict == orderer.Unknown {
			w.DeadlineLost(start.SentAt)
		}
	}
	if w != nil && verdict == orderer.Restarted {
		verdict = orderer.Accepted
		if start.SentAt.After(w.IncarnationAt) {
			s.restartNoticed(w, r, start)
		}
	}
	if r == nil {
		switch {
		case w == nil:
		case verdict != orderer.Unknown:
			s.startArrived(w, start.Task, start.Run)
		default:
			// The run is resolved in a later incarnation, but the start may reach the one after that.
			s.recordLostStart(w, start.Task, start.Run, start.SentAt)
		}
		return
	}
	if verdict != orderer.Accepted {
		s.Report("A worker did not accept a start.", "task", start.Task.String(), "run", start.Run,
			"worker", w.Info.ID, "incarnation", w.Incarnation, "verdict", verdict.String())
	}
	switch verdict {
	case orderer.Accepted:
		r.ConfirmedAt = now
		w.RecordRoundTrip(now.Sub(r.SentAt))
	case orderer.Unknown:
		if r.ConfirmedAt.IsZero() {
			w.HasUnconfirmedStart = true
			s.Options.Count("starts_unanswered")
			s.recordLostStart(w, r.Ref, r.Number, r.SentAt)
			s.Stop(r)
		}
	case orderer.Fenced:
		s.IsFenced = true
	default:
		s.startRefused(w, r, verdict)
	}
}

// restartNoticed asks a worker for its inventory, as a start was accepted by a later incarnation than the known one. The run
// is nil if it is resolved.
func (s *Reconciler) restartNoticed(w *monitor.Worker, r *tasker.Run, start orderer.Start) {
	s.Report("A later incarnation of a worker than the known one accepted a start.", "task", start.Task.String(), "run", start.Run,
		"worker", w.Info.ID, "incarnation", w.Incarnation)
	w.RestartNoticed(monitor.RunKey{Ref: start.Task, Number: start.Run}, s.Now, s.Options.MaxLease)
	if r != nil && w.MayDiscardResults(s.Now) {
		// An end as done that is discarded could not be told from a lost run, and the task would run again.
		s.Stop(r)
	}
	s.PollNow(w)
}

// startRefused removes a run whose start the worker has not carried out and never will.
func (s *Reconciler) startRefused(w *monitor.Worker, r *tasker.Run, verdict orderer.Verdict) {
	if t := r.Task; t != nil {
		switch verdict {
		case orderer.BadTicket:
			t.Step.Advice.Drop(w.Info.ID)
		case orderer.Superseded:
			t.LastRun += tasker.RunsPerEpoch
		case orderer.Unhealthy, orderer.NotSent, orderer.NoListener:
			w.Breaker.Refused(s.Now)
		}
		t.NotBefore = s.Now.Add(taskRetryPause)
	}
	s.resolve(r)
}

// StopLostStarts stops the runs whose starts got no reply, as a worker that has restarted does not refuse one that
// arrives late: the former incarnation was told of the stop. Their tasks don't start again before that.
func (s *Reconciler) StopLostStarts(w *monitor.Worker) {
	for _, lost := range w.LostStarts(s.Now) {
		if _, isKnown := w.Runs[monitor.RunKey{Ref: lost.Ref, Number: lost.Number}]; isKnown {
			continue
		}
		r := &tasker.Run{
			Ref: lost.Ref, Number: lost.Number, Worker: w.Info.ID, Charge: lost.Charge, Owner: lost.Owner, SentAt: lost.SentAt,
			Percent: pacer.UnknownPercent, Stopping: true,
		}
		w.Add(r)
		if j, found := s.Jobs[lost.Ref.Job]; found {
			r.Job, r.Task = j, j.Task(lost.Ref)
			j.AddRun(r)
		}
		s.SendStop(r)
	}
}

// StopAnswered applies the verdict on a stop. An acknowledgement counts only if the stop was sent after the
// worker's current incarnation had replied: a former one does not refuse a start that arrives later.
func (s *Reconciler) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	s.Now = now
	w, r := s.RunAt(stop.Worker.ID, stop.Task, stop.Run)
	if r == nil {
		return
	}
	switch verdict {
	case orderer.Fenced:
		s.IsFenced = true
	case orderer.Accepted, orderer.Superseded:
		if stop.SentAt.Before(w.IncarnationAt) {
			return
		}
		r.StopAckedAt = now
		s.PollNow(w)
	default:
		// The watcher sends the stop again after monitor.RetryPause. Other refusals do not show that a start which
		// arrives later will be refused, too.
	}
}

// NextPoll returns the next poll of a worker's inventory. The poll extends the lease only if
// the worker replied to the last one and has replied under the current fencing token before, so
// that the leases of all other workers expire and their runs can be given up. Likewise it acknowledges
// results only then, in polls to which the worker replies at once: one that did not reply may have restarted, and
// its results are numbered anew.
func (s *Reconciler) NextPoll(w *monitor.Worker) orderer.Poll {
	poll := s.nextPoll(w)
	if number := w.Results.Unconfirmed(); poll.Wait > 0 && number > 0 && !w.IsRestartNoticed() {
		poll.Wait, poll.Acknowledged = 0, number
		w.AcknowledgementSent()
	}
	return poll
}

// nextPoll returns a poll that acknowledges nothing. The lease ends within the authority of the holder.
func (s *Reconciler) nextPoll(w *monitor.Worker) orderer.Poll {
	poll := orderer.Poll{Worker: w.Info, Token: s.Options.Epoch, SentAt: s.Now, Incarnation: w.Incarnation}
	w.PollSent()
	if w.IsSynced && !w.HasFailedPoll {
		poll.Wait = s.Options.PollWait
		if lease := s.GrantableLease(); lease > 0 {
			poll.Deadline = w.Lease.Extend(s.Now, lease)
		}
	}
	return poll
}

// PollNow orders an extra poll, to which the worker replies at once. It acknowledges nothing: the worker may
// have restarted while the usual poll has no reply, and its results are then numbered anew.
func (s *Reconciler) PollNow(w *monitor.Worker) {
	poll := s.nextPoll(w)
	poll.Wait = 0
	s.Order(poll)
}
