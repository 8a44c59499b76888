// Package orderer defines the orders that the holder of a claim gives to workers, and
// their answers.
//
// # Usage
//
//	answer := workers.Start(ctx, orderer.Start{Worker: worker, Task: task, Run: 3, Token: epoch})
//	if answer == orderer.Unknown {
//		// the worker may carry out the order later: stop that run before another begins
//	}
package orderer

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// Verdict is what became of an order.
type Verdict uint8

// Verdicts. Only Unknown leaves open whether the order was or will be carried out.
const (
	Unknown Verdict = iota
	Accepted
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Superseded means that a run as high was there before.
	Superseded
	// Lapsed means that the order's deadline had passed when it arrived.
	Lapsed
	// NoRoom means that the worker guards its capacity and the task does not fit.
	NoRoom
	// BadTicket means that the ticket is missing, wrong or out of date.
	BadTicket
	// Invalid means that the worker can't read the order.
	Invalid
	// Unhealthy means that the worker takes nothing for now.
	Unhealthy
	// OtherIncarnation means that another life of the worker answered.
	OtherIncarnation
	// NotSent means that the order never reached the worker.
	NotSent
)

var verdictNames = [...]string{
	"unknown", "accepted", "fenced", "superseded", "lapsed", "no_room", "bad_ticket", "invalid",
	"unhealthy", "other_incarnation", "not_sent",
}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Start orders a worker to run a task.
type Start struct {
	Worker describer.Worker
	Task   describer.TaskRef
	Run    int64
	Token  int64
	Spec   string
	// Deadline is on the worker's clock; what runs there then ends unless it was extended.
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
	// Timeout is when the start counts as unanswered.
	Timeout time.Duration
}

// Stop orders a worker to end a run, and to refuse it if it comes later.
type Stop struct {
	Worker describer.Worker
	Task   describer.TaskRef
	Run    int64
	Token  int64
}

// Pace orders a worker to let a task work at a share of its speed.
type Pace struct {
	Worker  describer.Worker
	Task    describer.TaskRef
	Run     int64
	Token   int64
	Percent int
}

// Upkeep orders the platform to take a machine down for a wave. All that runs there ends.
type Upkeep struct {
	Machine string
	Wave    int64
	// Host is the holder's name, and Token its fencing token.
	Host  string
	Token int64
}

// WaveReport tells operators how far a wave is.
type WaveReport struct {
	Wave        int64
	IsCompleted bool
}

// DutyVerdict is what became of an order about a machine.
type DutyVerdict uint8

// Verdicts of orders about machines. Only DutyUnknown leaves open whether the order was
// carried out.
const (
	DutyUnknown DutyVerdict = iota
	DutyDone
	// DutyFenced means that a later holder has ordered.
	DutyFenced
	// DutyBusy means that the machine is not up, or leaves.
	DutyBusy
	// DutyInvalid means that the machine is not of the wave, or gone.
	DutyInvalid
	// DutyRefused means that nothing was done and the order may be repeated.
	DutyRefused
)

var dutyNames = [...]string{"unknown", "done", "fenced", "busy", "invalid", "refused"}

// String returns the verdict's name in logs.
func (v DutyVerdict) String() string { return dutyNames[v] }

// Look asks a worker what runs and what ended there, and extends its lease.
type Look struct {
	Worker describer.Worker
	Token  int64
	// Deadline is on the worker's clock; 0 extends nothing.
	Deadline time.Duration
	// Acknowledged is the last end that the worker may forget.
	Acknowledged int64
	// Wait is how long the worker may hold the answer back for an end.
	Wait time.Duration
	// SentAt is when the look left this host.
	SentAt time.Time
}

// EndKind is how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the kind's name in logs.
func (k EndKind) String() string { return endNames[k] }

// Running is a run at a worker.
type Running struct {
	Task       describer.TaskRef
	Run        int64
	Checkpoint string
	// Percent is the share of the work that is done; 100 for a lasting task at work.
	Percent int
	// Usage is the tail latency in milliseconds of a task that serves, and the processor
	// time in thousandths of a core of any other.
	Usage int64
}

// Ended is the end of a run at a worker.
type Ended struct {
	// Number counts the ends in a life of the worker, from 1.
	Number     int64
	Task       describer.TaskRef
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Inventory is a worker's answer to a look.
type Inventory struct {
	Incarnation int64
	// Clock is the worker's steady clock at its answer.
	Clock   time.Duration
	Running []Running
	Ended   []Ended
}

// Advise asks which of some workers may run a step.
type Advise struct {
	Step    describer.StepRef
	Workers []string
	Terms   describer.AdviceTerms
}

// Advice is the answer: the tickets of the workers that may run the step.
type Advice struct {
	Tickets map[string]string
	// Valid is how long the tickets can be used; 0 where the answer does not say.
	Valid time.Duration
}
