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

// JobID names a job. An optional prefix up to the first colon names its home
// data centre, as in "morava-brno:menu-17".
type JobID string

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int   `json:"index"`
}

// String prints the task as "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// ParseTaskID reads the form that TaskID.String prints.
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

// HostID names one life of an entry host: a replacement has another incarnation.
type HostID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// String prints the host as "name@incarnation".
func (h HostID) String() string {
	if h.Incarnation == "" {
		return h.Name
	}
	return h.Name + "@" + h.Incarnation
}

// ParseHostID reads the form that HostID.String prints.
func ParseHostID(text string) HostID {
	name, incarnation, _ := strings.Cut(text, "@")
	return HostID{Name: name, Incarnation: incarnation}
}

// IsZero reports whether no host is named.
func (h HostID) IsZero() bool {
	return h == HostID{}
}

// ShardID names a slice of a data centre: some of its racks and of its keys.
type ShardID struct {
	DataCentre string `json:"data_centre"`
	Index      int    `json:"index"`
}

// String prints the shard as "data_centre/index".
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.DataCentre, s.Index)
}

// Layout maps racks, keys and jobs to shards. Every host of a cell has the same
// layout, from its settings.
type Layout struct {
	// DataCentres lists the data centres of the cell.
	DataCentres []string
	// ShardsPerDataCentre is the count of shards in each data centre; 0 means 1.
	ShardsPerDataCentre int
}

// Home returns the data centre that a key or job id belongs to: the one that its
// prefix names, else one chosen by rendezvous hashing.
func (l Layout) Home(id string) string {
	prefix, _, found := strings.Cut(id, ":")
	if found && slices.Contains(l.DataCentres, prefix) {
		return prefix
	}
	return Rendezvous(id, l.DataCentres)
}

// ShardOf returns the shard that a key or job id belongs to.
func (l Layout) ShardOf(id string) ShardID {
	return ShardID{DataCentre: l.Home(id), Index: l.index(id)}
}

// ShardOfRack returns the shard that a rack of a data centre belongs to.
func (l Layout) ShardOfRack(dataCentre, rack string) ShardID {
	return ShardID{DataCentre: dataCentre, Index: l.index(rack)}
}

// Shards lists the shards of one data centre.
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

// Rendezvous returns the name with the highest hash together with key, or ""
// where names is empty. One name more or less moves only the keys of that name.
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

// CheckID returns an error where text can't name a job, key, team or service.
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
