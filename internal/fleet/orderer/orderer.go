// Package orderer defines the orders that the holder of the claim sends to workers and to the
// platform, with the replies to them. The claim is the record in the log that makes one host
// the leader; its epoch is the fencing token (Token) of the orders. A worker refuses an order
// whose token is lower than one that it has seen.
//
// # Usage
//
//	verdict := workers.Start(ctx, orderer.Start{Worker: worker, Task: task, Run: 3, Token: epoch})
//	if verdict == orderer.Unknown {
//		// the worker may still carry out the order: stop that run before the next one starts
//	}
package orderer

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/describer"
)

// Verdict is the result of an order to a worker.
type Verdict uint8

// Verdicts on orders to workers. Unknown means that there was no usable reply, so that the
// order may have been carried out or may still be; all others are certain.
const (
	Unknown Verdict = iota
	Accepted
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Superseded means that the worker already had a run of the task with the same or a higher
	// number.
	Superseded
	// Lapsed means that the order's deadline had passed when it arrived.
	Lapsed
	// NoRoom means that the worker enforces its capacity and the task does not fit.
	NoRoom
	// BadTicket means that the ticket of the advice is missing, wrong or expired.
	BadTicket
	// Invalid means that the worker rejected the order as malformed.
	Invalid
	// Unhealthy means that the worker temporarily accepts no orders.
	Unhealthy
	// OtherIncarnation means that another worker replied, which has taken over the address.
	OtherIncarnation
	// NotSent means that the order did not reach the worker.
	NotSent
	// NoListener means that no process listens at the worker's address, so that the order did not
	// reach it either.
	NoListener
	// Restarted means that a later incarnation of the worker than the one that the start was meant for has accepted it.
	Restarted
)

var verdictNames = [...]string{
	"unknown", "accepted", "fenced", "superseded", "lapsed", "no_room", "bad_ticket", "invalid",
	"unhealthy", "other_incarnation", "not_sent", "no_listener", "restarted",
}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Start orders a worker to run a task.
type Start struct {
	Worker describer.Worker
	Task   describer.TaskRef
	Run    int64
	Token  int64
	Spec   string
	// Deadline is the end of the worker's lease on its own clock. The worker ends all runs
	// then, unless the lease was extended.
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
	// MinClock is a lower bound of the clock of the incarnation that the order is meant for, at SentAt. A later
	// incarnation has the same id, and its clock began anew.
	MinClock time.Duration
	// Timeout is how long to wait for the reply; after it the verdict is Unknown.
	Timeout time.Duration
	// SentAt is when this host sent the order.
	SentAt time.Time
}

// Stop orders a worker to end a run and to refuse a start of it that arrives later.
type Stop struct {
	Worker describer.Worker
	Task   describer.TaskRef
	Run    int64
	Token  int64
	// SentAt is when this host sent the order.
	SentAt time.Time
}

// Pace orders a worker to limit the speed of a task to a percentage of full speed.
type Pace struct {
	Worker  describer.Worker
	Task    describer.TaskRef
	Run     int64
	Token   int64
	Percent int
}

// Upkeep orders the platform to take a machine down for a wave of upkeep, that is a rolling
// maintenance. All runs on the machine end.
type Upkeep struct {
	Machine string
	Wave    int64
	// Host is the name of the claim holder, Token its fencing token.
	Host  string
	Token int64
}

// WaveReport reports the progress of a wave to the operators.
type WaveReport struct {
	Wave        int64
	IsCompleted bool
}

// UpkeepVerdict is the result of an order to take a machine down.
type UpkeepVerdict uint8

// Verdicts on orders to take machines down. UpkeepUnknown means that there was no usable reply,
// so that the order may have been carried out; all others are certain.
const (
	UpkeepUnknown UpkeepVerdict = iota
	UpkeepDone
	// UpkeepFenced means that the platform has received an order of a later holder.
	UpkeepFenced
	// UpkeepBusy means that the machine is not up or is leaving.
	UpkeepBusy
	// UpkeepInvalid means that the machine is not part of the wave or no longer exists.
	UpkeepInvalid
	// UpkeepRefused means that the order had no effect and may be repeated.
	UpkeepRefused
)

var upkeepVerdictNames = [...]string{"unknown", "done", "fenced", "busy", "invalid", "refused"}

// String returns the name of the verdict in logs.
func (v UpkeepVerdict) String() string { return upkeepVerdictNames[v] }

// Poll requests the inventory of a worker, that is its running and ended runs, and extends its
// lease.
type Poll struct {
	Worker describer.Worker
	Token  int64
	// Deadline is the new end of the lease on the worker's clock; 0 does not extend the lease.
	Deadline time.Duration
	// Acknowledged is the number of the last result that is persisted. The worker may discard
	// it and all before it.
	Acknowledged int64
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
	// SentAt is when this host sent the poll.
	SentAt time.Time
	// Incarnation is the incarnation of the worker that this host knew then; it is not sent.
	Incarnation int64
}

// EndKind is how a run ended.
type EndKind uint8

// Kinds of ends. EndLapsed means that the lease expired.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
	// EndBroken means that another task of the gang ended.
	EndBroken
	// EndAlone means that the other tasks of the gang did not start in time.
	EndAlone
)

var endKindNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the kind in logs.
func (k EndKind) String() string { return endKindNames[k] }

// Running is a run that a worker reports as running.
type Running struct {
	Task       describer.TaskRef
	Run        int64
	Checkpoint string
	// Percent is how much of the work is done; 100 for a long-running task that is up.
	Percent int
	// Usage is the tail latency in milliseconds for a serving task, which has a latency
	// objective, and the processor usage in thousandths of a core for all others.
	Usage int64
}

// RunResult is the result of a run that has ended at a worker.
type RunResult struct {
	// Number counts the results of one incarnation of the worker, from 1.
	Number     int64
	Task       describer.TaskRef
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// Inventory is a worker's reply to a poll.
type Inventory struct {
	Incarnation int64
	// Clock is the worker's monotonic clock when it replied.
	Clock   time.Duration
	Running []Running
	Results []RunResult
	// MayOmitResults reports that the list of results is as long as a worker makes it, so that further
	// results may be missing.
	MayOmitResults bool
}

// AdviceRequest requests advice on which of the given workers may run a step.
type AdviceRequest struct {
	Step    describer.StepRef
	Workers []string
	Terms   describer.AdviceTerms
}

const (
	// shortService is the service time up to which a request for advice is short.
	shortService = 100 * time.Millisecond
	// MaxPipelined is how many short requests for advice a host may have in flight. The way through a host in another
	// region takes about three times as long as the service works on one, and the service lets 32 wait.
	MaxPipelined = 3
)

// ServiceTime returns how long the service is expected to take for the request.
func (r AdviceRequest) ServiceTime() time.Duration {
	return clamper.Add(r.Terms.Decide, clamper.Scale(r.Terms.PerWorker, float64(len(r.Workers))))
}

// IsShort reports whether the service is expected to take little time for the request.
func (r AdviceRequest) IsShort() bool { return r.ServiceTime() <= shortService }

// Advice is the reply to AdviceRequest: the tickets of the workers that may run the step, by worker
// ID.
type Advice struct {
	Tickets map[string]string
	// Valid is how long the tickets can be used; 0 if the reply does not state it.
	Valid time.Duration
}
