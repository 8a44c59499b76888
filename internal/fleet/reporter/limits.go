package reporter

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/bookkeeper"
	"lentilrock.example/internal/fleet/limiter"
)

// limitReportInterval is the least time between two log lines of a kind about limits.
const limitReportInterval = time.Second

// ReportHeld logs the workspace of which the limit holds back the most steps, and a step that can never start, each at most
// once a second, however many there are.
func (r *Reporter) ReportHeld(held bookkeeper.Held, ledger *limiter.Limiter) {
	if len(held.Steps) > 0 {
		r.Options.Count("rounds_held_by_limit")
		if r.Now.Sub(r.reachedLoggedAt) >= limitReportInterval {
			r.reachedLoggedAt = r.Now
			most := slices.MaxFunc(sorter.Keys(held.Steps), func(a, b string) int { return cmp.Compare(held.Steps[a], held.Steps[b]) })
			used, limit := ledger.Used(most), ledger.Limit(most)
			r.Report("Workspaces have reached their limits. Their steps wait.", "workspace", most, "steps", held.Steps[most], "workspaces", len(held.Steps),
				"cpu", used.MilliCPU, "cpu_limit", limit.MilliCPU, "memory_mb", used.MemoryMB, "memory_mb_limit", limit.MemoryMB, "gpu", used.GPU, "gpu_limit", limit.GPU)
		}
	}
	if s := held.Impossible; s != nil && r.Now.Sub(r.impossibleLoggedAt) >= limitReportInterval {
		r.impossibleLoggedAt = r.Now
		r.Report("A step can never start within the limit of its workspace. Its job waits until it is cancelled or the limit is raised.",
			"step", s.Ref().String(), "workspace", s.Job.Spec.Workspace, "tasks", s.Spec.Count, "is_gang", s.Spec.Gang)
	}
}

// ReportExcess logs how many of the steps that wait are of jobs in excess of the guaranteed rates of their workspaces, at
// most once a second.
func (r *Reporter) ReportExcess(excess, waiting int) {
	if excess == 0 || r.Now.Sub(r.excessLoggedAt) < limitReportInterval {
		return
	}
	r.excessLoggedAt = r.Now
	r.Report("Jobs in excess of the guaranteed rates of their workspaces wait behind all others.", "steps", excess, "waiting_steps", waiting)
}
