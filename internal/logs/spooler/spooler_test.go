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

// slowReader takes nothing until it is let go.
type slowReader struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (r *slowReader) Write(line []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

func TestReaderThatDoesNotRead(t *testing.T) {
	reader := &slowReader{release: make(chan struct{})}
	s := spooler.New(reader)
	const lines = 20_000
	for i := range lines {
		// A write that blocked would never return: nobody reads yet.
		_, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Positive(t, s.Dropped())
	close(reader.release)
	s.Close()
	_, err := fmt.Fprintln(s, "after the end")
	require.NoError(t, err)
	text := reader.text.String()
	told := 0
	for _, found := range regexp.MustCompile(`"count":(\d+)`).FindAllStringSubmatch(text, -1) {
		count, err := strconv.Atoi(found[1])
		require.NoError(t, err)
		told += count
	}
	require.Equal(t, int(s.Dropped()), told, "what was dropped is counted and told")
	require.Equal(t, lines-told, strings.Count(text, "line "))
}
