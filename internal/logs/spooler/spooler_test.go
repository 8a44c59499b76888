package spooler_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/logs/spooler"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

// Guards against log writes that block while the output is stalled, and against dropped lines that are not
// counted. The output accepts nothing until more lines are written than fit into the buffer.
func TestWriteDoesNotBlockWhileOutputIsStalled(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	s := spooler.New(writer)
	const lines = 20_000
	for i := range lines {
		// The output is stalled, so a write that blocks would never return.
		_, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Positive(t, s.Dropped())
	close(writer.release)
	s.Close()
	_, err := fmt.Fprintln(s, "after close")
	require.NoError(t, err)
	text := writer.text.String()
	reported := 0
	for _, found := range regexp.MustCompile(`"count":(\d+)`).FindAllStringSubmatch(text, -1) {
		count, err := strconv.Atoi(found[1])
		require.NoError(t, err)
		reported += count
	}
	require.Equal(t, int(s.Dropped()), reported, "all dropped lines are reported in the output")
	require.Equal(t, lines-reported, strings.Count(text, "line "))
}
