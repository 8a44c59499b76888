// Package recorder keeps the latest log lines about each job in memory, so that operators can
// query why something was decided. The number of lines is bounded; the log of the host has all
// of them.
//
// # Usage
//
//	var c recorder.Recorder
//	c.Record(now, "A task failed.", "task", "a.0.0.1", "worker", "w-3")
//	lines := c.LinesOf("a")
package recorder

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// maxLines bounds the lines in memory. It is enough for some minutes of a busy cell.
const maxLines = 4096

// Line is a log line about a job or task.
type Line struct {
	At   time.Time
	Text string
	// job is the ID of the job that the line is about.
	job string
}

// Recorder is a ring buffer of lines. The zero value is empty and ready to use.
type Recorder struct {
	mu    sync.Mutex
	lines []Line
	// next is the index of the oldest line, which the next one overwrites, once the buffer is full.
	next int
}

// Record stores a line about the job or task in fields, which has alternating keys and values. A
// line without a "job" or "task" key is dropped.
func (c *Recorder) Record(now time.Time, message string, fields ...any) {
	var text strings.Builder
	text.WriteString(message)
	job := ""
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&text, " %v=%v", fields[i], fields[i+1])
		if fields[i] == "job" || fields[i] == "task" {
			job, _, _ = strings.Cut(fmt.Sprint(fields[i+1]), ".")
		}
	}
	if job == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	line := Line{At: now, Text: text.String(), job: job}
	if len(c.lines) < maxLines {
		c.lines = append(c.lines, line)
		return
	}
	c.lines[c.next] = line
	c.next = (c.next + 1) % maxLines
}

// LinesOf returns the lines about a job and its tasks, the oldest first.
func (c *Recorder) LinesOf(job string) []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var matches []Line
	for i := range c.lines {
		if line := c.lines[(c.next+i)%len(c.lines)]; line.job == job {
			matches = append(matches, line)
		}
	}
	return matches
}

// Explain returns the recent lines about a job as text that begins with the time in UTC.
func (c *Recorder) Explain(job describer.JobID) []string {
	var texts []string
	for _, line := range c.LinesOf(string(job)) {
		texts = append(texts, line.At.UTC().Format(time.RFC3339Nano)+" "+line.Text)
	}
	return texts
}
