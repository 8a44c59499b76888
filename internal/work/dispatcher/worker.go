package dispatcher

import (
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/work/describer"
	"lentilrock.example/internal/work/journaler"
	"lentilrock.example/internal/work/orderer"
)

// runKey names a run at a worker.
type runKey struct {
	ref    describer.TaskRef
	number int64
}

// endMark is an end that the worker may forget once a batch is kept.
type endMark struct {
	number int64
	batch  int64
}

// worker is a worker as the holder sees it.
type worker struct {
	info describer.Worker
	// listed reports that the host list has the worker.
	listed bool
	runs   map[runKey]*run
	used   describer.Resources
	// synced reports that this life answered under the present token.
	synced bool
	// incarnation is the life that answered last; 0 before the first answer.
	incarnation int64
	answeredAt  time.Time
	failing     bool
	// clock was the worker's clock at clockAt, or later.
	clock   time.Duration
	clockAt time.Time
	// lapseAt is when the last lease that anybody may have promised is over.
	lapseAt time.Time
	// processed is the last end that was taken in; acknowledged the last that may be forgotten.
	processed    int64
	acknowledged int64
	marks        []endMark
	health       health
}

// room returns what is free on a worker.
func (w *worker) room() describer.Resources { return w.info.Capacity.Minus(w.used) }

// deadline returns the end on the worker's clock of a lease that is promised now.
func (w *worker) deadline(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	w.lapseAt = later(w.lapseAt, now.Add(lapseOf(lease)))
	return w.clock + now.Sub(w.clockAt) + lease
}

func lapseOf(lease time.Duration) time.Duration {
	return lease + time.Duration(clockDrift*float64(lease)) + lapseSlack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayHoldOld reports whether runs of a former holder could be at the worker.
func (w *worker) mayHoldOld(now time.Time) bool { return !w.synced && now.Before(w.lapseAt) }

// takesWork reports whether tasks may be started on a worker.
func (d *Dispatcher) takesWork(w *worker) bool {
	return w.listed && w.synced && !w.failing && !w.info.Draining && !w.clockAt.IsZero() &&
		d.now.Sub(w.answeredAt) < silence && w.health.takesWork(d.now)
}

// saved lets the worker forget the ends whose batch is kept.
func (w *worker) saved(batch int64) {
	kept := 0
	for kept < len(w.marks) && w.marks[kept].batch <= batch {
		w.acknowledged = w.marks[kept].number
		kept++
	}
	w.marks = w.marks[kept:]
}

// SetWorkers takes in the host list. A worker that is missing is kept until it can run
// nothing any more.
func (d *Dispatcher) SetWorkers(now time.Time, listed []describer.Worker) {
	d.now = now
	for _, w := range d.ordered {
		w.listed = false
	}
	for _, info := range listed {
		w, found := d.workers[info.ID]
		if !found {
			w = &worker{runs: make(map[runKey]*run), lapseAt: d.claimedAt.Add(lapseOf(d.options.HoldMax) + renewalSlack)}
			d.workers[info.ID] = w
			d.ordered = append(d.ordered, w)
		}
		if found && info.Draining && !w.info.Draining {
			d.options.Report("A worker drains.", "worker", info.ID, "remaining", info.Remaining)
		}
		w.info, w.listed = info, true
	}
	slices.SortFunc(d.ordered, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
}

// forgetWorkers drops workers that are not listed and can run nothing.
func (d *Dispatcher) forgetWorkers() {
	d.ordered = slices.DeleteFunc(d.ordered, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || d.now.Before(w.lapseAt) || d.now.Sub(w.answeredAt) < silence {
			return false
		}
		d.options.Report("A worker is gone.", "worker", w.info.ID)
		delete(d.workers, w.info.ID)
		return true
	})
}

// NextLook returns the next look at a worker; false means that the worker is gone.
func (d *Dispatcher) NextLook(now time.Time, id string) (orderer.Look, bool) {
	w, found := d.workers[id]
	if !found {
		return orderer.Look{}, false
	}
	look := orderer.Look{
		Worker: w.info, Token: d.options.Epoch, Acknowledged: w.acknowledged,
		Wait: d.options.LookWait, SentAt: now,
	}
	if w.synced {
		look.Deadline = w.deadline(now, d.options.Lease)
	} else {
		look.Wait = 0
	}
	return look, true
}

// Looked takes in the answer to a look.
func (d *Dispatcher) Looked(now time.Time, look orderer.Look, inventory orderer.Inventory, verdict orderer.Verdict) {
	d.now = now
	w, found := d.workers[look.Worker.ID]
	if !found {
		return
	}
	switch verdict {
	case orderer.Accepted:
		d.inventory(w, look, inventory)
	case orderer.Fenced:
		d.fenced = true
	default:
		if !w.failing {
			d.options.Report("A worker does not answer.", "worker", w.info.ID, "verdict", verdict.String())
		}
		w.failing = true
	}
}

func (d *Dispatcher) inventory(w *worker, look orderer.Look, inventory orderer.Inventory) {
	if w.incarnation != inventory.Incarnation {
		d.newLife(w, inventory.Incarnation)
	}
	if w.failing {
		d.options.Report("A worker answers again.", "worker", w.info.ID)
	}
	w.failing, w.answeredAt = false, d.now
	w.clock, w.clockAt = inventory.Clock, d.now
	first := !w.synced
	w.synced = true
	d.takeEnds(w, inventory.Ended)
	present := make(map[runKey]bool, len(inventory.Running))
	for _, r := range inventory.Running {
		present[runKey{r.Task, r.Run}] = true
		d.running(w, r, first)
	}
	for key, r := range w.runs {
		if !present[key] {
			d.absent(r, look.SentAt)
		}
	}
}

// takeEnds takes in the new ends of a worker. The worker may forget them once what they
// changed is kept.
func (d *Dispatcher) takeEnds(w *worker, ends []orderer.Ended) {
	for _, end := range ends {
		if end.Number <= w.processed {
			continue
		}
		w.processed = end.Number
		d.ended(w, end)
		batch := d.batch
		if !d.HasProgress() {
			batch--
		}
		w.marks = append(w.marks, endMark{end.Number, batch})
	}
	w.saved(d.savedBatch)
}

// newLife settles what ran in a former life of a worker. A start without an answer may
// still be carried out by the new one, so it stays until a stop has been taken.
func (d *Dispatcher) newLife(w *worker, incarnation int64) {
	if w.incarnation != 0 {
		d.options.Report("A worker began a new life.", "worker", w.info.ID, "runs_lost", len(w.runs))
	}
	for _, r := range w.runs {
		if r.answeredAt.IsZero() {
			r.stopAckedAt = time.Time{}
			r.stopping = true
			d.sendStop(r)
			continue
		}
		d.settle(r)
	}
	w.incarnation = incarnation
	w.processed, w.acknowledged, w.marks = 0, 0, nil
	w.health = health{}
}

// running takes in a run that a worker lists.
func (d *Dispatcher) running(w *worker, running orderer.Running, first bool) {
	key := runKey{running.Task, running.Run}
	r, found := w.runs[key]
	if !found {
		r = d.adopt(w, running)
	}
	if r.answeredAt.IsZero() {
		r.answeredAt = d.now
	}
	r.percent = running.Percent
	if r.task != nil && running.Checkpoint != "" {
		r.task.saveCheckpoint(running.Checkpoint)
	}
	if first && r.stopping {
		return
	}
	if r.task == nil || r.task.run != r || r.job.isOver() || r.task.done {
		d.stop(r)
	}
}

// adopt takes in a run that this holder did not start. The newest run of a task stays; it
// is stopped where nothing is known of it.
func (d *Dispatcher) adopt(w *worker, running orderer.Running) *run {
	r := &run{ref: running.Task, number: running.Run, worker: w, sentAt: d.now, answeredAt: d.now}
	if j, found := d.jobs[running.Task.Job]; found {
		r.job = j
		j.runs[r] = true
		if t := j.task(running.Task); t != nil {
			r.charge = t.step.spec.Charge()
			r.task = t
			t.lastRun = max(t.lastRun, running.Run)
			d.prefer(t, r)
		}
	}
	if r.task == nil {
		d.options.Report("A worker runs what is not known.", "worker", w.info.ID, "task", running.Task.String())
	}
	w.runs[runKey{running.Task, running.Run}] = r
	w.used = w.used.Plus(r.charge)
	return r
}

// prefer keeps the newer of two runs of a task and stops the other.
func (d *Dispatcher) prefer(t *task, r *run) {
	switch {
	case t.run == nil:
		t.run = r
	case t.run.number < r.number:
		d.stop(t.run)
		t.run = r
	}
	t.step.job.begun = true
}

// absent handles a run that a look did not list.
func (d *Dispatcher) absent(r *run, lookedAt time.Time) {
	switch {
	case !r.stopAckedAt.IsZero() && lookedAt.After(r.stopAckedAt):
		d.settle(r)
	case !r.answeredAt.IsZero() && !r.stopping && lookedAt.After(r.answeredAt):
		d.options.Report("A run has vanished.", "task", r.ref.String(), "run", r.number, "worker", r.worker.info.ID)
		d.settle(r)
	}
}

// settle takes a run away: it is certain that it is not at work and never will be.
func (d *Dispatcher) settle(r *run) {
	w := r.worker
	delete(w.runs, runKey{r.ref, r.number})
	w.used = w.used.Minus(r.charge)
	if r.job != nil {
		delete(r.job.runs, r)
	}
	if r.task == nil || r.task.run != r {
		return
	}
	r.task.run = nil
	r.task.step.breakGang(d, r.number)
}

// breakGang stops the other members of a gang's run, which can't end any more.
func (s *step) breakGang(d *Dispatcher, number int64) {
	if !s.spec.Gang || s.left == 0 {
		return
	}
	for _, t := range s.tasks {
		if t.run != nil && t.run.number == number {
			d.stop(t.run)
		}
	}
}

func (t *task) saveCheckpoint(value string) {
	t.checkpoint = value
	if t.step.spec.Gang {
		t.step.checkpoint = value
	}
}

func (t *task) resumeFrom() string {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// ended takes in the end of a run.
func (d *Dispatcher) ended(w *worker, end orderer.Ended) {
	r := w.runs[runKey{end.Task, end.Run}]
	j := d.jobs[end.Task.Job]
	var t *task
	if j != nil {
		t = j.task(end.Task)
	}
	if t != nil {
		t.lastRun = max(t.lastRun, end.Run)
		if end.Checkpoint != "" {
			t.saveCheckpoint(end.Checkpoint)
		}
		d.countEnd(w, t, end)
	}
	if r != nil {
		d.settle(r)
	}
}

func (d *Dispatcher) countEnd(w *worker, t *task, end orderer.Ended) {
	j := t.step.job
	switch end.Kind {
	case orderer.EndDone:
		w.health.succeeded()
		d.taskDone(t)
	case orderer.EndFailed:
		w.health.failed(d.now, end.Task.Job)
		if t.failedAt == nil {
			t.failedAt = make(map[string]bool)
		}
		t.failedAt[w.info.ID] = true
		failures := t.step.fail(t, end.Run)
		d.dirty[j] = true
		d.options.Report("A task failed.", "task", end.Task.String(), "run", end.Run, "worker", w.info.ID, "failures", failures)
		if !t.step.spec.LongRunning && failures >= max(j.queue.MaxAttempts, 1) && !j.isOver() {
			j.outcome, j.reason = journaler.OutcomeFailed, "a task failed as often as its queue allows"
			d.options.Report("A job failed.", "job", j.spec.ID, "task", end.Task.String(), "failures", failures)
			d.endJob(j)
		}
	}
}

// taskDone marks a task, or all tasks of its gang, as done.
func (d *Dispatcher) taskDone(t *task) {
	j := t.step.job
	finished := t.finish()
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			finished = member.finish() || finished
		}
	}
	if !finished {
		return
	}
	for r := range j.runs {
		if r.task == t && t.run != r {
			d.stop(r)
		}
	}
	if !j.isOver() && j.isDone() {
		j.outcome = journaler.OutcomeCompleted
		d.options.Report("A job is completed.", "job", j.spec.ID)
	}
	d.dirty[j] = true
}

// tickWorker settles what a silent worker can't run any more and repeats orders.
func (d *Dispatcher) tickWorker(w *worker) {
	isLapsed := d.now.After(w.lapseAt) && d.now.Sub(w.answeredAt) > silence
	isLeft := w.info.Draining && !w.listed && w.failing
	for _, r := range w.runs {
		switch {
		case isLapsed || isLeft:
			d.options.Report("A run is lost with its worker.", "task", r.ref.String(), "run", r.number, "worker", w.info.ID)
			d.settle(r)
		case r.stopping && r.stopAckedAt.IsZero() && d.now.Sub(r.stopSentAt) >= retryPause && !w.failing:
			d.sendStop(r)
		}
	}
}

// StartAnswered takes in what became of a start.
func (d *Dispatcher) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	d.now = now
	w, found := d.workers[start.Worker.ID]
	if !found {
		return
	}
	r, found := w.runs[runKey{start.Task, start.Run}]
	if !found {
		return
	}
	if verdict != orderer.Accepted {
		d.options.Report("A start was not taken.", "task", start.Task.String(), "run", start.Run,
			"worker", w.info.ID, "verdict", verdict.String())
	}
	switch verdict {
	case orderer.Accepted:
		r.answeredAt = now
	case orderer.Unknown:
		r.unknown = true
		if r.answeredAt.IsZero() {
			d.stop(r)
		}
	case orderer.Fenced:
		d.fenced = true
	default:
		d.startRefused(w, r, verdict)
	}
}

// startRefused takes back a start that the worker did not and will not carry out.
func (d *Dispatcher) startRefused(w *worker, r *run, verdict orderer.Verdict) {
	if t := r.task; t != nil {
		switch verdict {
		case orderer.BadTicket:
			delete(t.step.advice.tickets, w.info.ID)
		case orderer.Superseded:
			t.lastRun += runsPerEpoch
		case orderer.Unhealthy, orderer.NotSent:
			w.health.refused(d.now)
		}
		t.notBefore = d.now.Add(retryPause / 6)
	}
	d.settle(r)
}

// StopAnswered takes in what became of a stop.
func (d *Dispatcher) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	d.now = now
	w, found := d.workers[stop.Worker.ID]
	if !found {
		return
	}
	r, found := w.runs[runKey{stop.Task, stop.Run}]
	if !found {
		return
	}
	switch verdict {
	case orderer.Fenced:
		d.fenced = true
	case orderer.Unknown, orderer.NotSent, orderer.OtherIncarnation, orderer.Unhealthy:
	default:
		r.stopAckedAt = now
	}
}

// WorkerIDs returns the workers to look after, in order.
func (d *Dispatcher) WorkerIDs() []string {
	ids := make([]string, 0, len(d.ordered))
	for _, w := range d.ordered {
		ids = append(ids, w.info.ID)
	}
	return ids
}
