package tasker

import (
	"slices"

	"lentilrock.example/internal/fleet/journaler"
)

// Progress returns the progress of a job to persist under an epoch. It includes the job's runs on
// unresponsive workers.
func (j *Job) Progress(epoch int64, isSilent func(worker string) bool) journaler.Progress {
	p := journaler.Progress{Epoch: epoch, Begun: j.Begun, Outcome: j.Outcome, Reason: j.Reason}
	if j.IsOver() {
		return p
	}
	for _, s := range j.Steps {
		if stored, hasProgress := s.progress(isSilent); hasProgress {
			p.Steps = append(p.Steps, stored)
		}
	}
	return p
}

func (s *Step) progress(isSilent func(worker string) bool) (journaler.StepProgress, bool) {
	p := journaler.StepProgress{Occurrence: s.Occurrence, Step: s.Index}
	addFailures(&p, 0, s.gangFailures)
	for i, t := range s.Tasks {
		if t.Done {
			p.Done = appendIndex(p.Done, i)
			continue
		}
		addFailures(&p, i, t.failures)
		if t.Run != nil && isSilent(t.Run.Worker) {
			p.Unresponsive = append(p.Unresponsive, journaler.UnresponsiveRun{Worker: t.Run.Worker, Index: i, Run: t.Run.Number})
		}
	}
	return p, len(p.Done) > 0 || len(p.Failed) > 0 || len(p.Unresponsive) > 0
}

// appendIndex adds an index to a list of ranges, each a pair of first and last index. Indexes are
// added in ascending order.
func appendIndex(ranges []int, index int) []int {
	if n := len(ranges); n > 0 && ranges[n-1] == index-1 {
		ranges[n-1] = index
		return ranges
	}
	return append(ranges, index, index)
}

func addFailures(p *journaler.StepProgress, index int, failures map[int64]bool) {
	if len(failures) == 0 {
		return
	}
	if p.Failed == nil {
		p.Failed = make(map[int][]int64)
	}
	for number := range failures {
		p.Failed[index] = append(p.Failed[index], number)
	}
	slices.Sort(p.Failed[index])
}

// restore applies the persisted progress of a step.
func (s *Step) restore(p journaler.StepProgress) {
	for i := 0; i+1 < len(p.Done); i += 2 {
		for index := max(p.Done[i], 0); index <= p.Done[i+1] && index < len(s.Tasks); index++ {
			s.Tasks[index].finish()
		}
	}
	for index, runs := range p.Failed {
		if index < 0 || index >= len(s.Tasks) {
			continue
		}
		for _, number := range runs {
			s.Tasks[index].countFailure(number)
		}
	}
}
