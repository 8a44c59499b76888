package applier

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
)

// IsOpen reports whether the job has not reached a final state.
func (j *JobState) IsOpen() bool {
	return j.End == ""
}

// IsTaskDone reports whether the task has completed and needs no further attempt. Tasks of a
// service are never done; they are restarted.
func (j *JobState) IsTaskDone(index int) bool {
	ended, found := j.Ended[index]
	return found && ended.End == recorder.TaskDone && j.Job.Kind != descriptor.KindService
}

// NextAttempt returns the number of the task's next attempt, from 1.
func (j *JobState) NextAttempt(index int) int {
	return j.Ended[index].Attempt + 1
}

// JobsByOffset returns the jobs in the order of their acceptance, which is that of their
// offsets.
func (s *State) JobsByOffset() []*JobState {
	jobs := make([]*JobState, 0, len(s.Jobs))
	for _, job := range s.Jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *JobState) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return jobs
}

func (s *State) applySubmit(offset int64, r recorder.Record, b recorder.Submit) Verdict {
	if _, found := s.Jobs[b.Job.ID]; found {
		return rejected("job %s was submitted before", b.Job.ID)
	}
	if s.Jobs == nil {
		s.Jobs = make(map[descriptor.JobID]*JobState)
	}
	s.Jobs[b.Job.ID] = &JobState{Job: b.Job, Author: r.Author, At: r.At, Offset: offset}
	return changed("", string(b.Job.Kind))
}

// IsDone reports whether every task of the job is done.
func (j *JobState) IsDone() bool {
	for index := range j.Job.Tasks {
		if !j.IsTaskDone(index) {
			return false
		}
	}
	return true
}

func (s *State) applyTaskBegun(b recorder.TaskBegun) Verdict {
	if current := s.Claim(b.Shard); b.Epoch != current.Epoch || current.Released {
		return rejected("epoch %d of %s is over, the present one is %d", b.Epoch, b.Shard, current.Epoch)
	}
	job, found := s.Jobs[b.Task.Job]
	if !found || !job.IsOpen() {
		return rejected("job %s is not open", b.Task.Job)
	}
	if worker, begun := job.Begun[b.Task.Index]; begun {
		return rejected("task %s was begun on %s", b.Task, worker)
	}
	if job.Begun == nil {
		job.Begun = make(map[int]string)
	}
	job.Begun[b.Task.Index] = b.Worker
	return applied()
}

func (s *State) applyTasksEnded(b recorder.TasksEnded) Verdict {
	job, found := s.Jobs[b.Job]
	if !found {
		return rejected("job %s is unknown", b.Job)
	}
	for _, ended := range b.Ended {
		job.applyEnded(ended)
	}
	return applied()
}

// applyEnded records the end of an attempt, unless the end of the same or a later attempt of
// the task is recorded already.
func (j *JobState) applyEnded(ended recorder.EndedTask) {
	if ended.Attempt <= j.Ended[ended.Index].Attempt {
		return
	}
	if j.Ended == nil {
		j.Ended = make(map[int]recorder.EndedTask)
	}
	j.Ended[ended.Index] = ended
	if ended.End != recorder.TaskFailed {
		return
	}
	if j.Failures == nil {
		j.Failures = make(map[int]int)
	}
	j.Failures[ended.Index]++
}

func (s *State) applyCloseJobs(offset int64, r recorder.Record, b recorder.CloseJobs) Verdict {
	verdict := rejected("no job of %d was open", len(b.Jobs))
	for _, id := range b.Jobs {
		job, found := s.Jobs[id]
		if !found || !job.IsOpen() {
			continue
		}
		job.End = b.End
		job.Reason = b.Reason
		s.ClosedJobs = append(s.ClosedJobs, id)
		verdict = s.audit(offset, r, string(b.End), string(id), changed("open", string(b.End)))
	}
	for len(s.ClosedJobs) > maxClosedJobs {
		delete(s.Jobs, s.ClosedJobs[0])
		s.ClosedJobs = s.ClosedJobs[1:]
	}
	return verdict
}
