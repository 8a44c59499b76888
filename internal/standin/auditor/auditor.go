// Package auditor checks that no task runs twice. It keeps the runs of each task and finds starts during
// another run, and starts after an end as done that a holder has acknowledged.
//
// # Usage
//
//	a := auditor.New()
//	r := a.Start(auditor.Run{Task: "job.0.0.1", Worker: "w-1", Number: 1, Token: 3, StartedAt: now}, nil)
//	r.End(later, true)
//	a.Acknowledge(r, later)
//	violations := a.Violations()
package auditor

import (
	"fmt"
	"slices"
	"time"
)

// Run is a run of a task on a worker.
type Run struct {
	Task, Worker string
	// Number is the number of the run, and Token the fencing token of the order that started it.
	Number, Token int64
	// MaySpeculate exempts the run, and the runs beside it, from the checks.
	MaySpeculate bool
	StartedAt    time.Time
	// EndedAt is zero while the run runs, and for one that its worker's restart has ended.
	EndedAt time.Time
	IsDone  bool
	// AcknowledgedAt is when a holder acknowledged the end; zero if none did, or if the worker's lease had
	// expired in between.
	AcknowledgedAt time.Time
}

// End records the end of a run.
func (r *Run) End(at time.Time, isDone bool) { r.EndedAt, r.IsDone = at, isDone }

// String returns the run with its times of day.
func (r *Run) String() string {
	text := fmt.Sprintf("%s run %d on %s (token %d) started %s", r.Task, r.Number, r.Worker, r.Token, timeOfDay(r.StartedAt))
	if !r.EndedAt.IsZero() {
		text += fmt.Sprintf(" ended %s done %t", timeOfDay(r.EndedAt), r.IsDone)
	}
	if !r.AcknowledgedAt.IsZero() {
		text += " acknowledged " + timeOfDay(r.AcknowledgedAt)
	}
	return text
}

func timeOfDay(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// Kind is the rule that a start breaks.
type Kind int

const (
	// Overlap is a start while another run of the task runs.
	Overlap Kind = iota
	// Restart is a start after a run has ended as done, if that end was acknowledged before the start or after.
	Restart
)

// Violation is a start that breaks a rule. Run is the run that started, and Earlier the one that ran or had ended.
type Violation struct {
	Kind         Kind
	Task         string
	Run, Earlier *Run
}

// String returns the rule and both runs.
func (v Violation) String() string {
	if v.Kind == Overlap {
		return fmt.Sprintf("%v, while %v", v.Run, v.Earlier)
	}
	return fmt.Sprintf("%v, after %v", v.Run, v.Earlier)
}

// Auditor keeps the runs of each task. It is not safe for concurrent use.
type Auditor struct {
	runs       map[string][]*Run
	violations []Violation
}

// New returns an Auditor without runs.
func New() *Auditor { return &Auditor{runs: make(map[string][]*Run)} }

// Start records a start. The argument running is another run of the task that runs at this moment; nil
// if there is none.
func (a *Auditor) Start(r Run, running *Run) *Run {
	started := &r
	if running != nil {
		a.check(Overlap, started, running)
	}
	former := a.runs[r.Task]
	if i := slices.IndexFunc(former, func(f *Run) bool { return !f.AcknowledgedAt.IsZero() }); i >= 0 {
		a.check(Restart, started, former[i])
	}
	a.runs[r.Task] = append(former, started)
	return started
}

// Acknowledge records that a holder acknowledged the end of a run, with no expiry of the worker's lease
// since that end.
func (a *Auditor) Acknowledge(r *Run, at time.Time) {
	if !r.IsDone || !r.AcknowledgedAt.IsZero() {
		return
	}
	r.AcknowledgedAt = at
	for _, later := range a.runs[r.Task] {
		if later.StartedAt.After(r.EndedAt) {
			a.check(Restart, later, r)
		}
	}
}

// check records a violation, one of each kind a start.
func (a *Auditor) check(kind Kind, started, earlier *Run) {
	isKnown := slices.ContainsFunc(a.violations, func(v Violation) bool { return v.Kind == kind && v.Run == started })
	if started.MaySpeculate || earlier.MaySpeculate || isKnown {
		return
	}
	a.violations = append(a.violations, Violation{Kind: kind, Task: started.Task, Run: started, Earlier: earlier})
}

// Violations returns the violations so far, in the order in which they were found, with copies of their runs.
func (a *Auditor) Violations() []Violation {
	copies := make([]Violation, len(a.violations))
	for i, v := range a.violations {
		run, earlier := *v.Run, *v.Earlier
		copies[i] = Violation{Kind: v.Kind, Task: v.Task, Run: &run, Earlier: &earlier}
	}
	return copies
}
