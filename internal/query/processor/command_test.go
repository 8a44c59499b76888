package processor_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/query/processor"
)

// TestLongCommands guards against a command that a peer forwards and that takes the parser any amount of time.
func TestLongCommands(t *testing.T) {
	reply := processor.New(processor.Options{}).Execute(t.Context(), processor.Command{Text: "show jobs " + strings.Repeat("x", 1<<20)})
	require.Contains(t, reply.Error, "over 65536")
}
