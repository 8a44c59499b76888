package settler

import (
	"time"

	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

// StopAll stops what a job runs. The job is forgotten once nothing of it runs.
func (s *Settler) StopAll(j *tasker.Job) {
	for r := range j.Runs {
		s.Stop(r)
	}
}

// Stop ends a run at its worker, unless that is under way.
func (s *Settler) Stop(r *tasker.Run) {
	if r.Stopping {
		return
	}
	r.Stopping = true
	s.SendStop(r)
}

// SendStop orders the end of a run that is being stopped.
func (s *Settler) SendStop(r *tasker.Run) {
	w, found := s.Workers[r.Worker]
	if !found {
		return
	}
	r.StopSentAt = s.Now
	s.Order(orderer.Stop{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: s.Options.Epoch})
}

// StartAnswered takes in what became of a start.
func (s *Settler) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	s.Now = now
	w, r := s.RunAt(start.Worker.ID, start.Task, start.Run)
	if r == nil {
		return
	}
	if verdict != orderer.Accepted {
		s.Report("A start was not taken.", "task", start.Task.String(), "run", start.Run,
			"worker", w.Info.ID, "verdict", verdict.String())
	}
	switch verdict {
	case orderer.Accepted:
		r.AnsweredAt = now
		w.Measure(now.Sub(r.SentAt))
	case orderer.Unknown:
		if r.AnsweredAt.IsZero() {
			w.IsDoubted = true
			s.Stop(r)
		}
	case orderer.Fenced:
		s.IsFenced = true
	default:
		s.startRefused(w, r, verdict)
	}
}

// startRefused takes back a start that the worker did not and will not carry out.
func (s *Settler) startRefused(w *minder.Worker, r *tasker.Run, verdict orderer.Verdict) {
	if t := r.Task; t != nil {
		switch verdict {
		case orderer.BadTicket:
			t.Step.Advice.Drop(w.Info.ID)
		case orderer.Superseded:
			t.LastRun += tasker.RunsPerEpoch
		case orderer.Unhealthy, orderer.NotSent:
			w.Trust.Refused(s.Now)
		}
		t.NotBefore = s.Now.Add(refusedPause)
	}
	s.Settle(r)
}

// StopAnswered takes in what became of a stop.
func (s *Settler) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	s.Now = now
	w, r := s.RunAt(stop.Worker.ID, stop.Task, stop.Run)
	if r == nil {
		return
	}
	switch verdict {
	case orderer.Fenced:
		s.IsFenced = true
	case orderer.Unknown, orderer.NotSent, orderer.OtherIncarnation, orderer.Unhealthy:
		// The stop is sent again.
	default:
		r.StopAckedAt = now
		s.LookNow(w)
	}
}

// Look returns the next look at a worker. One that does not answer, or has not under the
// present token, is promised nothing: what it may run has to lapse some time.
func (s *Settler) Look(w *minder.Worker) orderer.Look {
	now := s.Now
	look := orderer.Look{Worker: w.Info, Token: s.Options.Epoch, Acknowledged: w.Ends.Acknowledged(), SentAt: now}
	if w.IsSynced && !w.IsFailing {
		look.Wait = s.Options.LookWait
		look.Deadline = w.Lease.Extend(now, s.Options.Lease)
	}
	return look
}

// LookNow looks at a worker beside its usual looks, without a wait.
func (s *Settler) LookNow(w *minder.Worker) {
	look := s.Look(w)
	look.Wait = 0
	s.Order(look)
}
