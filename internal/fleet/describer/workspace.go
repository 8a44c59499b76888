package describer

import (
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a group of callers that share a limit and a share of the cell. A job belongs to the workspace whose
// key its submission carried; jobs of public queues belong to none.
type Workspace struct {
	Name string
	// Keys are the digests of the keys that name this workspace. A workspace may have none.
	Keys     []KeyDigest
	Priority int
	// Weight is the workspace's share when room is short, relative to the others, and the jobs a second that it may
	// expect to be served.
	Weight float64
	// Limit bounds what the workspace may have running over all workers; an amount of 0 means no limit.
	Limit Resources
}

// Within reports whether usage is within a limit, of which amounts of 0 mean no limit.
func (r Resources) Within(limit Resources) bool {
	return (limit.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) && (limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}

// Owner is the workspace for whose limit a run counts, with what counts.
type Owner struct {
	// Workspace is empty if the job belongs to none.
	Workspace string
	// Need is what the step asks for. Unlike what a worker is charged with, it includes the processors of fillers.
	Need Resources
	// IsUnknown reports that the job is not known, so that it may belong to any workspace.
	IsUnknown bool
}

// Owner returns the owner of the runs of a step.
func (j *Job) Owner(step int) Owner {
	return Owner{Workspace: j.Workspace, Need: j.Steps[step].Need}
}

// Unread is what could not be read of a configuration, whose other parts are valid. Indexes are those of the lists of
// Config.
type Unread struct {
	// AllQueues, AllServices and AllWorkspaces report lists that could not be read at all.
	AllQueues, AllServices, AllWorkspaces bool
	// MaxBody reports that the maximum size of a request body could not be read.
	MaxBody bool
	// Queues and Services are the entries of which a field could not be read.
	Queues, Services map[int]bool
	// Workspaces are the fields of workspaces that could not be read.
	Workspaces map[int]UnreadWorkspace
	// Reasons describe the faults for operators. They contain no keys.
	Reasons []string
}

// UnreadWorkspace names the fields of a workspace that could not be read.
type UnreadWorkspace struct{ Keys, Priority, Weight, Limit bool }

// Workspace returns a workspace of the configuration. It searches a list, so it is for single look-ups.
func (c Config) Workspace(name string) (Workspace, bool) {
	if name == "" {
		return Workspace{}, false
	}
	i := slices.IndexFunc(c.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}
