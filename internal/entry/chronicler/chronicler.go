// Package chronicler remembers what was decided about each job lately, for operators who ask
// why. It keeps a bounded number of lines; the log of the host has them all.
//
// # Usage
//
//	var c chronicler.Chronicler
//	c.Note(now, "A task failed.", "task", "a.0.0.1", "worker", "w-3")
//	lines := c.About("a")
package chronicler

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// maxLines bounds the lines that are kept: those of some minutes of a busy cell.
const maxLines = 4096

// Line is something that was decided.
type Line struct {
	At   time.Time
	Text string
	// job is the id of the job that it was about.
	job string
}

// Chronicler keeps lines. The zero value has none.
type Chronicler struct {
	mu    sync.Mutex
	lines []Line
	// next is where the next line goes once all places are taken.
	next int
}

// Note keeps a line about the job or task that is among the pairs of key and value; a line
// about neither is not kept.
func (c *Chronicler) Note(now time.Time, message string, fields ...any) {
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

// About returns the lines about a job, the oldest first.
func (c *Chronicler) About(job string) []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var about []Line
	for i := range c.lines {
		if line := c.lines[(c.next+i)%len(c.lines)]; line.job == job {
			about = append(about, line)
		}
	}
	return about
}
