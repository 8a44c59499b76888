package accountant

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// defaultWeight is the weight of all workspaces if none has one.
const defaultWeight = 1

// newWeights returns the weights of the workspaces by name. The empty name has the mean, for the jobs without a workspace,
// and so have workspaces without a weight. The map is empty if no workspaces are configured.
func (a *Accountant) newWeights() map[string]float64 {
	weights := make(map[string]float64)
	if a.options.Workspaces == nil {
		return weights
	}
	workspaces := a.options.Workspaces()
	if len(workspaces) == 0 {
		return weights
	}
	sum, count, mean := 0.0, 0, float64(defaultWeight)
	for _, w := range workspaces {
		if w.Weight > 0 {
			sum, count = sum+w.Weight, count+1
		}
	}
	if count > 0 {
		mean = sum / float64(count)
	}
	weights[""] = mean
	for _, w := range workspaces {
		if weights[w.Name] = w.Weight; w.Weight <= 0 {
			weights[w.Name] = mean
		}
	}
	return weights
}

// scope is what a part of a workspace is a part of: the room of all queues, or that of one.
type scope struct {
	queue   string
	isQueue bool
}

var allQueues = scope{}

// workspace returns the account of a workspace. Jobs of one that is not configured count with those that have none.
func (a *Accountant) workspace(in scope, name string) *account {
	name = a.shareOf(name)
	accounts := a.byWorkspace[in]
	if accounts == nil {
		accounts = make(map[string]*account)
		a.byWorkspace[in] = accounts
	}
	if accounts[name] == nil {
		accounts[name] = &account{}
	}
	return accounts[name]
}

func (a *Accountant) shareOf(name string) string {
	if _, found := a.weights[name]; found {
		return name
	}
	return ""
}

// checkShares returns an error if room is short, that of all queues or that of the job's queue, and the job would take its
// workspace over its weighted part there.
func (a *Accountant) checkShares(job *describer.Job, need int64, queue *account) error {
	if err := a.checkShare(job, need, allQueues, &a.total, a.capacity); err != nil {
		return err
	}
	return a.checkShare(job, need, scope{job.Queue.Name, true}, queue, a.capacity/queueDivisor)
}

// checkShare checks the part of a room. The part is among the workspaces with unfinished jobs there.
func (a *Accountant) checkShare(job *describer.Job, need int64, in scope, all *account, room int64) error {
	lent := room - room/sharedDivisor
	if all.used+need <= lent {
		return nil
	}
	own := a.workspace(in, job.Workspace)
	sum := 0.0
	for name := range a.byWorkspace[in] {
		sum += a.weights[name]
	}
	part := int64(float64(room) * a.weights[a.shareOf(job.Workspace)] / sum)
	if own.used+need <= part {
		return nil
	}
	// There is room once either bound has it.
	wait := min(own.secondsUntil(own.used+need-part), all.secondsUntil(all.used+need-lent))
	return &FullError{
		Queue: job.Queue.Name, Workspace: job.Workspace, Need: need, Free: part - own.used, RetryAfter: time.Duration(wait) * time.Second,
	}
}
