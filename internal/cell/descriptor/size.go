// Package descriptor defines the objects of a cell: hosts (entry hosts, workers and
// upstreams), jobs, tasks, resource sizes and their identifiers.
//
// The types are plain values with no behaviour beyond arithmetic, hashing and validation, so
// that all other packages can share them without depending on each other.
//
// # Usage
//
//	need := descriptor.Size{MilliCores: 500, MemoryBytes: 256 << 20}
//	free := worker.Capacity.Sub(used)
//	if need.Fits(free) {
//		// place the task
//	}
package descriptor

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Size is an amount of resources, as a worker's capacity or a task's requirement.
type Size struct {
	// MilliCores is CPU in thousandths of a core.
	MilliCores int64 `json:"milli_cores"`
	// MemoryBytes is memory in bytes.
	MemoryBytes int64 `json:"memory_bytes"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryBytes:  s.MemoryBytes + o.MemoryBytes,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Sub returns s minus o; resources may become negative.
func (s Size) Sub(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryBytes:  s.MemoryBytes - o.MemoryBytes,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{
		MilliCores:   s.MilliCores * n,
		MemoryBytes:  s.MemoryBytes * n,
		Accelerators: s.Accelerators * n,
	}
}

// Fits reports whether s is at most available in every resource.
func (s Size) Fits(available Size) bool {
	return s.MilliCores <= available.MilliCores &&
		s.MemoryBytes <= available.MemoryBytes &&
		s.Accelerators <= available.Accelerators
}

// Max returns the larger of both sizes in each resource.
func (s Size) Max(o Size) Size {
	return Size{
		MilliCores:   max(s.MilliCores, o.MilliCores),
		MemoryBytes:  max(s.MemoryBytes, o.MemoryBytes),
		Accelerators: max(s.Accelerators, o.Accelerators),
	}
}

// IsZero reports whether every resource is zero.
func (s Size) IsZero() bool {
	return s == Size{}
}

// Share returns the dominant share of s: the largest fraction of any resource of total that s
// uses. Use of a resource that total lacks counts as 1.
func (s Size) Share(total Size) float64 {
	share := fraction(s.MilliCores, total.MilliCores)
	share = max(share, fraction(s.MemoryBytes, total.MemoryBytes))
	return max(share, fraction(s.Accelerators, total.Accelerators))
}

// Check returns an error that names the first field with an invalid value.
func (s Size) Check() error {
	switch {
	case s.MilliCores < 0:
		return errors.Newf("milli_cores is %d, want 0 or more", s.MilliCores)
	case s.MemoryBytes < 0:
		return errors.Newf("memory_bytes is %d, want 0 or more", s.MemoryBytes)
	case s.Accelerators < 0:
		return errors.Newf("accelerators is %d, want 0 or more", s.Accelerators)
	case s.MilliCores == 0 && s.MemoryBytes == 0:
		return errors.New("milli_cores and memory_bytes are both 0, want at least one above 0")
	}
	return nil
}

// String formats the size in the syntax of the command language, such as "500m/256Mi/1":
// millicores, memory and, if any, accelerators.
func (s Size) String() string {
	text := strconv.FormatInt(s.MilliCores, 10) + "m/" + formatBytes(s.MemoryBytes)
	if s.Accelerators > 0 {
		text += "/" + strconv.FormatInt(s.Accelerators, 10)
	}
	return text
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// ParseBytes parses a number of bytes with an optional unit of Ki, Mi or Gi. It returns an
// error if the number is not an integer.
func ParseBytes(text string) (int64, error) {
	units := []struct {
		suffix string
		bytes  int64
	}{{"Gi", gibibyte}, {"Ki", kibibyte}, {"Mi", mebibyte}}
	scale := int64(1)
	digits := text
	for _, u := range units {
		if strings.HasSuffix(text, u.suffix) {
			scale = u.bytes
			digits = strings.TrimSuffix(text, u.suffix)
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, errors.Errorf("read %q as bytes: %w", text, err)
	}
	return n * scale, nil
}

func fraction(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func formatBytes(n int64) string {
	switch {
	case n != 0 && n%gibibyte == 0:
		return strconv.FormatInt(n/gibibyte, 10) + "Gi"
	case n != 0 && n%mebibyte == 0:
		return strconv.FormatInt(n/mebibyte, 10) + "Mi"
	case n != 0 && n%kibibyte == 0:
		return strconv.FormatInt(n/kibibyte, 10) + "Ki"
	}
	return strconv.FormatInt(n, 10)
}
