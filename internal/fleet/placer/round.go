package placer

import (
	"sort"
	"time"

	"lentilrock.example/internal/fleet/delayer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/ranker"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// maxStartsPerJob bounds the tasks of one job that are started in one round, apart from gangs, so that a
	// job with many small tasks does not delay the others.
	maxStartsPerJob = 256
	// maxStartsInFlight bounds the starts without a verdict at all workers together. It is above the size of the
	// largest gang.
	maxStartsInFlight = 8192
	// jobDivisor and queueDivisor are the parts of the runs that a holder carries that one job, or the jobs of one
	// queue, may have.
	jobDivisor   = 4
	queueDivisor = 2
	// maxNeeds bounds the needs of a kind that a round remembers as impossible to place.
	maxNeeds = 16
)

// kind is what workers must have for a task apart from capacity.
type kind struct {
	service string
	label   string
}

// place is the part of a rack that belongs to a service.
type place struct {
	service string
	rack    string
}

// placeOf returns the place of a worker.
func placeOf(w *monitor.Worker) place { return place{w.Info.Service, w.Info.Rack} }

// round is what has been started in a round, and what could not be. Within a round the capacity only shrinks.
type round struct {
	// startedByJob counts the tasks that were started, by job.
	startedByJob map[*tasker.Job]int
	// inFlight counts the starts without a verdict.
	inFlight int
	// maxRuns is how many runs may be active, 0 for any number. runs counts them, runsByQueue those of a queue.
	maxRuns     int
	runs        int
	runsByQueue map[string]int
	// impossible are needs for which no worker has capacity.
	impossible map[kind][]describer.Resources
	// limits are those of the workspaces; nil if there are none.
	limits *limiter.Limiter
	// flows is the capacity that the runs free, and quickWait the time in which it is enough for the quick steps that
	// found no room so far, by service. preempting counts those that may preempt.
	flows      map[string]*ranker.Flow
	quickWait  map[string]time.Duration
	preempting int
	// claimed is what steps need for whose tasks runs are stopped, by workspace, and claims the number of these tasks.
	claimed map[string]describer.Resources
	claims  int
	// lines are the lines for room, and racks the workers, by service and rack.
	lines map[place]*delayer.Line
	racks map[place][]*monitor.Worker
}

// newRound returns a round with the runs that are active at its beginning.
func (p *Placer) newRound() *round {
	r := &round{
		startedByJob: make(map[*tasker.Job]int), runsByQueue: make(map[string]int), impossible: make(map[kind][]describer.Resources),
		maxRuns: p.Options.MaxRuns, limits: p.bookkeeper.Ledger(),
		claimed: make(map[string]describer.Resources),
		lines:   make(map[place]*delayer.Line), racks: make(map[place][]*monitor.Worker),
		flows: tasker.Flows(p.Jobs, p.Now), quickWait: make(map[string]time.Duration),
	}
	for _, w := range p.Ordered {
		r.racks[placeOf(w)] = append(r.racks[placeOf(w)], w)
		r.inFlight += w.StartsInFlight()
		r.runs += len(w.Runs)
	}
	for _, j := range p.Jobs {
		r.runsByQueue[j.Queue.Name] += len(j.Runs)
	}
	return r
}

// mayStart reports whether a number of tasks of a step may be started without exceeding a bound of the holder or the limit
// of the workspace.
func (r *round) mayStart(s *tasker.Step, count int) bool {
	return r.limits.MayStart(s.Job.Spec.Workspace, s.Spec.Need, count) && r.mayRun(s.Job, count, 0)
}

// mayRun reports whether a number of tasks of a job may be started beside others without exceeding a bound of the holder.
func (r *round) mayRun(j *tasker.Job, count, others int) bool {
	if r.inFlight+count+others > maxStartsInFlight {
		return false
	}
	return r.maxRuns == 0 || r.runs+count+others <= r.maxRuns && len(j.Runs)+count <= max(r.maxRuns/jobDivisor, describer.MaxGang) &&
		r.runsByQueue[j.Queue.Name]+count <= max(r.maxRuns/queueDivisor, describer.MaxGang)
}

// startable returns how many of a number of waiting tasks of a step, outside a gang, may be started by now, beside those for
// which runs are stopped in this round.
func (r *round) startable(s *tasker.Step, waiting int) int {
	name := s.Job.Spec.Workspace
	most := min(waiting, maxStartsPerJob-r.startedByJob[s.Job])
	// All bounds hold for fewer tasks, too.
	return sort.Search(max(most, 0), func(count int) bool {
		need := r.claimed[name].Plus(s.Spec.Need.Times(count + 1))
		return !r.limits.MayStart(name, need, 1) || !r.mayRun(s.Job, count+1, r.claims)
	})
}

// claim records tasks of a step for which runs are stopped.
func (r *round) claim(s *tasker.Step, tasks int) {
	name := s.Job.Spec.Workspace
	r.claimed[name] = r.claimed[name].Plus(s.Spec.Need.Times(tasks))
	r.claims += tasks
}

// recordStart records a run that was started.
func (r *round) recordStart(run *tasker.Run) {
	j := run.Job
	r.limits.AddRun(run.Owner)
	r.startedByJob[j]++
	r.inFlight++
	r.runs++
	r.runsByQueue[j.Queue.Name]++
}

// isImpossible reports whether a task of a step was found not to fit on any worker, or one that needs less.
// Long-running steps may have capacity reserved for them, so nothing is known of them.
func (r *round) isImpossible(s *tasker.Step) bool {
	if s.Spec.LongRunning {
		return false
	}
	need := s.Spec.Charge()
	for _, n := range r.impossible[kind{s.Job.Queue.Service, s.Spec.Label}] {
		if n.Fits(need) {
			return true
		}
	}
	return false
}

// recordImpossible records that no worker can take a task of a step, unless the reason may be the step itself.
func (r *round) recordImpossible(s *tasker.Step) {
	if s.Spec.LongRunning || s.Spec.MaxPerWorker > 0 || s.Job.Queue.NeedsAdvice() {
		return
	}
	k := kind{s.Job.Queue.Service, s.Spec.Label}
	if len(r.impossible[k]) < maxNeeds {
		r.impossible[k] = append(r.impossible[k], s.Spec.Charge())
	}
}
