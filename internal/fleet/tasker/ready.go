package tasker

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/ranker"
)

const (
	// maxOffered bounds the steps of one job that ReadySteps returns, so that a job with many of them does not
	// delay the others. Half of them are the first ones, the others are taken in rotation.
	maxOffered = 64
	// maxScanned bounds the steps and dependencies of one job that each half of the search for these steps looks at.
	maxScanned = 2048
	// manyJobs is the number of jobs from which on both bounds shrink with the number of jobs, to minOffered
	// and minScanned at the least.
	manyJobs   = 128
	minOffered = 4
	minScanned = 64
)

// ReadySteps returns the steps that are ready and have tasks to start, ordered by rank, and those of a job in
// its own order. Of a job with many such steps it returns some, and others the next time.
func ReadySteps(jobs map[describer.JobID]*Job, now time.Time) []*Step {
	return ReadyStepsIn(jobs, Flows(jobs, now), now)
}

// ReadyStepsIn is like ReadySteps for a cell with known flows.
func ReadyStepsIn(jobs map[describer.JobID]*Job, flows map[string]*ranker.Flow, now time.Time) []*Step {
	offered, scanned := maxOffered, maxScanned
	if len(jobs) > manyJobs {
		offered = max(maxOffered*manyJobs/len(jobs), minOffered)
		scanned = max(maxScanned*manyJobs/len(jobs), minScanned)
	}
	var steps []*Step
	for _, j := range jobs {
		if !j.IsOver() {
			steps = j.appendReady(steps, now, offered, scanned, flows[j.Queue.Service])
		}
	}
	slices.SortStableFunc(steps, func(a, b *Step) int { return a.Rank.Compare(b.Rank) })
	return steps
}

// appendReady appends the steps of a job that are ready and have tasks to start, with their ranks. Flow is that of the
// job's service.
func (j *Job) appendReady(steps []*Step, now time.Time, offered, scanned int, flow *ranker.Flow) []*Step {
	begin, end := j.dueRange(now)
	j.search.Limit, j.search.MaxCost = offered, scanned
	numbers := j.search.Find(begin, end, func(number int) (bool, int) { return j.isReady(number, now) })
	if len(numbers) == 0 {
		return steps
	}
	// The path comes first, as the objective is computed anew with it.
	remaining := j.CriticalPath()
	c := ranker.Candidate{
		Priority: j.Queue.Priority, Objective: j.Objective, Remaining: remaining, Work: j.Work(now), Offset: j.Offset,
	}
	// The objective of a scheduled job counts from its receipt, so that all but the first occurrences pass it.
	if j.Spec.Repeat == 0 {
		c.Received = j.Spec.Received
	}
	for _, number := range numbers {
		s := j.step(number)
		c.LongRunning = s.Spec.LongRunning
		if c.IsNearLastChance(now) {
			c.Fill = flow.Fill(s.Spec, s.WaitingTasks(now))
		}
		s.Rank = ranker.Of(c, now)
		steps = append(steps, s)
	}
	return steps
}

// FirstReady returns the first of the job's steps, of the next maxOffered ones that have tasks left, that is ready; nil
// if there is none. Its tasks may be running, or may be held up.
func (j *Job) FirstReady(now time.Time) *Step {
	if j.IsOver() {
		return nil
	}
	begin, end := j.dueRange(now)
	looked := 0
	for number := begin; number < end && looked < maxOffered; number = j.tally.NextOpenStep(number + 1) {
		looked++
		if isUnblocked, _ := j.tally.IsUnblocked(number); isUnblocked {
			return j.step(number)
		}
	}
	return nil
}

// WaitingSteps returns those of the job's next maxOffered steps with tasks left that are ready and have tasks to start.
func (j *Job) WaitingSteps(now time.Time) []*Step {
	if j.IsOver() {
		return nil
	}
	var steps []*Step
	begin, end := j.dueRange(now)
	looked := 0
	for number := begin; number < end && looked < maxOffered; number = j.tally.NextOpenStep(number + 1) {
		looked++
		if isReady, _ := j.isReady(number, now); isReady {
			steps = append(steps, j.step(number))
		}
	}
	return steps
}

// isReady reports whether the step with a number, whose occurrence is due, has tasks to start, and how many
// steps it looked at.
func (j *Job) isReady(number int, now time.Time) (isReady bool, scanned int) {
	if j.tally.IsStepDone(number) {
		return false, 1
	}
	isUnblocked, dependencies := j.tally.IsUnblocked(number)
	if !isUnblocked {
		return false, 1 + dependencies
	}
	// Only tasks that have started before may not be waiting.
	s, isKept := j.steps[number]
	return !isKept || s.hasWaitingTask(now), 1 + dependencies
}

// dueRange returns the numbers of the first open step and of the first step that is not due. An occurrence is
// due no earlier than the one before it.
func (j *Job) dueRange(now time.Time) (begin, end int) {
	j.firstOpen = j.tally.NextOpenStep(j.firstOpen)
	end = j.Spec.DueOccurrences(now) * len(j.Spec.Steps)
	return min(j.firstOpen, end), end
}

// SpeculativeSteps returns the steps with runs that are ready and allow speculative copies, ordered by rank.
// Gangs are left out.
func SpeculativeSteps(jobs map[describer.JobID]*Job, now time.Time) []*Step {
	var steps []*Step
	for _, j := range jobs {
		for _, s := range j.steps {
			if s.Spec.Speculative && !s.Spec.Gang && s.IsReady(now) {
				steps = append(steps, s)
			}
		}
	}
	slices.SortFunc(steps, func(a, b *Step) int {
		return cmp.Or(a.Rank.Compare(b.Rank), cmp.Compare(a.number(), b.number()))
	})
	return steps
}
