package processor

import (
	"fmt"
	"strconv"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/summarizer"
	"lentilrock.example/internal/query/tabler"
)

func workspaces(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{
		"workspace", "cores", "memory_mb", "gpus", "weight", "share_percent", "fair_percent", "waiting_jobs", "waiting_tasks", "excess_jobs", "worst_wait",
	}}
	if k.Summarizer == nil {
		addMissingRuns(&t)
		return t
	}
	for _, u := range k.Summarizer.Workspaces() {
		t.Add(orDash(u.Workspace), coresOf(u.Running.MilliCPU)+"/"+limitOf(u.Limit.MilliCPU, coresOf),
			number(u.Running.MemoryMB)+"/"+limitOf(u.Limit.MemoryMB, number), number(u.Running.GPU)+"/"+limitOf(u.Limit.GPU, number),
			weightOf(u), percent(u.Share), fairShare(u), strconv.Itoa(u.WaitingJobs), strconv.Itoa(u.WaitingTasks), strconv.Itoa(u.ExcessJobs),
			u.WorstWait.Round(time.Millisecond).String())
	}
	sortRows(&t)
	return t
}

func number(amount int64) string { return strconv.FormatInt(amount, 10) }

func coresOf(milli int64) string { return fmt.Sprintf("%.1f", float64(milli)/1000) }

func percent(part float64) string { return strconv.FormatFloat(100*part, 'f', 1, 64) }

// limitOf returns an amount of a limit as text, or "-" if there is no limit.
func limitOf(amount int64, format func(int64) string) string {
	if amount == 0 {
		return "-"
	}
	return format(amount)
}

// weightOf returns the weight of a workspace, or "-" if it has none.
func weightOf(u summarizer.Usage) string {
	if u.Weight == 0 {
		return "-"
	}
	return strconv.FormatFloat(u.Weight, 'g', -1, 64)
}

// fairShare returns the fair share of a workspace in percent, or "-" if it has none.
func fairShare(u summarizer.Usage) string {
	if u.Weight == 0 {
		return "-"
	}
	return percent(u.FairShare)
}

// amounts returns resources as text.
func amounts(r describer.Resources) string {
	return fmt.Sprintf("cores=%s memory_mb=%d gpus=%d", coresOf(r.MilliCPU), r.MemoryMB, r.GPU)
}

// addHoldRows adds what holds back a job that has not ended: the limit or the share of its workspace, the guaranteed rate,
// its rank, or advice.
func addHoldRows(table *tabler.Table, k CellView, id describer.JobID) {
	if k.Summarizer == nil {
		return
	}
	j, found := k.Registrar.Jobs[id]
	if !found || j.IsOver() {
		return
	}
	h := k.Summarizer.HoldOf(j)
	table.Add("workspace", orDash(h.Usage.Workspace))
	table.Add("limit", limitText(h))
	if h.Usage.Weight > 0 {
		table.Add("share", fmt.Sprintf("uses %s%% of the cell, its fair share is %s%%", percent(h.Usage.Share), percent(h.Usage.FairShare)))
		excess := "no"
		if h.IsInExcess {
			excess = fmt.Sprintf("yes: over the guaranteed rate of %s jobs a second, it waits behind all jobs within theirs", weightOf(h.Usage))
		}
		table.Add("excess", excess)
	}
	for _, s := range h.Waiting {
		value := fmt.Sprintf("tasks=%d rank=%s", s.WaitingTasks(k.Now), s.Rank.ClassName())
		if j.Queue.NeedsAdvice() {
			value += fmt.Sprintf(" ticketed_workers=%d advice_requested=%s", len(s.Advice.TicketedWorkers()), age(k, s.Advice.QueriedAt()))
		}
		if count, last := summarizer.Confined(s, k.Now); count > 0 {
			value += fmt.Sprintf(" confined=%d confined_to=%s confined_for=%s", count, last.Worker, last.Until.Sub(k.Now).Round(time.Millisecond))
		}
		table.Add("waits "+s.Ref().String(), value)
	}
}

// limitText describes what the limit of a workspace means for a job.
func limitText(h summarizer.Hold) string {
	if h.Usage.Limit == (describer.Resources{}) {
		return "none"
	}
	text := fmt.Sprintf("counted %s of %s (0 is no limit)", amounts(h.Usage.Counted), amounts(h.Usage.Limit))
	if h.Limited == nil {
		return "does not hold it back: " + text
	}
	verb := "holds it back: "
	if h.IsImpossible {
		verb = "it can never start: "
	}
	return fmt.Sprintf("%sstep %s needs %s at once; %s", verb, h.Limited.Ref(), amounts(limiter.NeedAtOnce(h.Limited.Spec)), text)
}
