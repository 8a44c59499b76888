package descriptor

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// JobID identifies a job. An optional prefix up to the first colon names its home
// data centre, as in "morava-brno:menu-17".
type JobID string

// TaskID identifies a task of a job by its index, from 0.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int   `json:"index"`
}

// String formats the task as "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// ParseTaskID parses the form that TaskID.String returns. It returns an error if the index is
// missing or not a number.
func ParseTaskID(text string) (TaskID, error) {
	job, index, found := strings.Cut(text, "/")
	if !found {
		return TaskID{}, errors.Newf("task %q has no index, want job/index", text)
	}
	n, err := strconv.Atoi(index)
	if err != nil {
		return TaskID{}, errors.Errorf("read index of task %q: %w", text, err)
	}
	return TaskID{Job: JobID(job), Index: n}, nil
}

// HostID identifies one incarnation of an entry host; a replacement under the same name has
// another incarnation.
type HostID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// String formats the host as "name@incarnation", or as "name" without an incarnation.
func (h HostID) String() string {
	if h.Incarnation == "" {
		return h.Name
	}
	return h.Name + "@" + h.Incarnation
}

// ParseHostID parses the form that HostID.String returns.
func ParseHostID(text string) HostID {
	name, incarnation, _ := strings.Cut(text, "@")
	return HostID{Name: name, Incarnation: incarnation}
}

// IsZero reports whether the ID is empty.
func (h HostID) IsZero() bool {
	return h == HostID{}
}

// ShardID identifies a shard of a data centre: the subset of its racks, keys and jobs that
// one host schedules.
type ShardID struct {
	DataCentre string `json:"data_centre"`
	Index      int    `json:"index"`
}

// String formats the shard as "data_centre/index".
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.DataCentre, s.Index)
}

// Layout maps racks, keys and jobs to shards. All hosts of a cell must have the same layout;
// it comes from their settings.
type Layout struct {
	// DataCentres lists the data centres of the cell.
	DataCentres []string
	// ShardsPerDataCentre is the number of shards in each data centre; 0 means 1.
	ShardsPerDataCentre int
}

// Home returns the data centre that a key or job ID belongs to: the one named by its prefix,
// or else one chosen by rendezvous hashing.
func (l Layout) Home(id string) string {
	prefix, _, found := strings.Cut(id, ":")
	if found && slices.Contains(l.DataCentres, prefix) {
		return prefix
	}
	return Rendezvous(id, l.DataCentres)
}

// ShardOf returns the shard that a key or job ID belongs to.
func (l Layout) ShardOf(id string) ShardID {
	return ShardID{DataCentre: l.Home(id), Index: l.index(id)}
}

// ShardOfRack returns the shard that a rack of a data centre belongs to.
func (l Layout) ShardOfRack(dataCentre, rack string) ShardID {
	return ShardID{DataCentre: dataCentre, Index: l.index(rack)}
}

// Shards returns the shards of a data centre.
func (l Layout) Shards(dataCentre string) []ShardID {
	shards := make([]ShardID, 0, max(l.ShardsPerDataCentre, 1))
	for i := range max(l.ShardsPerDataCentre, 1) {
		shards = append(shards, ShardID{DataCentre: dataCentre, Index: i})
	}
	return shards
}

func (l Layout) index(text string) int {
	count := uint64(max(l.ShardsPerDataCentre, 1))
	return int(xxhash.Sum64String(text) % count)
}

// Rendezvous selects a name for key by rendezvous (highest random weight) hashing, or returns
// "" if names is empty. Adding or removing a name moves only the keys of that name.
func Rendezvous(key string, names []string) string {
	best := ""
	bestScore := uint64(0)
	for _, name := range names {
		score := xxhash.Sum64String(name + "\x00" + key)
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best = name
			bestScore = score
		}
	}
	return best
}

const maxIDBytes = 128

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:-]*$`)

// CheckID returns an error if text is not a valid job ID, key, team or service name. The
// error begins with field.
func CheckID(field, text string) error {
	switch {
	case text == "":
		return errors.Newf("%s is empty", field)
	case len(text) > maxIDBytes:
		return errors.Newf("%s is %d bytes long, want at most %d", field, len(text), maxIDBytes)
	case !idPattern.MatchString(text):
		return errors.Newf("%s %q has a character outside A-Z a-z 0-9 _ . : -", field, text)
	}
	return nil
}
