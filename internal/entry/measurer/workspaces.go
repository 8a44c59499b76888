package measurer

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/fleet/summarizer"
	"lentilrock.example/internal/metrics/labeler"
)

// maxWorkspaceLabels bounds the workspaces with a series of their own; the others share one.
const maxWorkspaceLabels = 100

// WorkspaceGauges are the gauges of the workspaces. They are safe for concurrent use.
type WorkspaceGauges struct {
	mu     sync.Mutex
	labels *labeler.Labeler
	// shown are the values by label. Those of workspaces that are gone become 0, as gauges keep their last value.
	shown map[string]workspaceValues
}

// workspaceValues are the gauges of one label.
type workspaceValues struct{ waitingJobs, usedCores float64 }

// NewWorkspaceGauges returns gauges without workspaces.
func NewWorkspaceGauges() *WorkspaceGauges {
	return &WorkspaceGauges{labels: labeler.New(maxWorkspaceLabels), shown: make(map[string]workspaceValues)}
}

// Update sets the gauges to the usages of the workspaces, or to 0 on a host that does not hold the cell.
func (g *WorkspaceGauges) Update(scope tally.Scope, usages []summarizer.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for label := range g.shown {
		g.shown[label] = workspaceValues{}
	}
	for _, u := range usages {
		label := g.labels.Label(u.Workspace)
		values := g.shown[label]
		values.waitingJobs += float64(u.WaitingJobs)
		values.usedCores += float64(u.Running.MilliCPU) / 1000
		g.shown[label] = values
	}
	for label, values := range g.shown {
		tagged := scope.Tagged(map[string]string{"workspace": label})
		tagged.Gauge("workspace_waiting_jobs").Update(values.waitingJobs)
		tagged.Gauge("workspace_used_cores").Update(values.usedCores)
	}
}
