package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[host]\nname = e 1\n"), 0o600))
	empty := filepath.Join(dir, "empty.trace")
	require.NoError(t, os.WriteFile(empty, []byte("-- options --\n{}\n"), 0o600))
	tests := []struct {
		name      string
		arguments []string
		status    int
		want      string
	}{
		{"a faulty settings file", []string{"check", bad}, ExitUsage, `bad.ini:2: host.name: host.name "e 1" has a character`},
		{"a faulty settings file is not served", []string{"serve", bad}, ExitUsage, "faults in the settings"},
		{"a missing settings file", []string{"check", filepath.Join(dir, "none.ini")}, ExitUsage, "no such file"},
		{"a recorded trace", []string{"replay", "../../core/replayer/testdata/frozen.trace"}, ExitOK, "7 of 7 outcomes hold"},
		{"a trace without outcomes", []string{"replay", empty}, ExitUsage, "states no outcome"},
		{"an address by name", []string{"do", "--host", "erie:7100", "show jobs"}, ExitUsage, "--host"},
		{"an unknown command", []string{"serv"}, ExitUsage, `did you mean "serve"?`},
		{"help", []string{"--help"}, ExitOK, "Exit status 0: done"},
		{"no host", []string{"do", "--host", "127.0.0.1:1", "show jobs"}, ExitFailed, "reach host 127.0.0.1:1"},
		{"the version", []string{"version"}, ExitOK, "lentilrock"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			status := run(test.arguments, streams{in: strings.NewReader(""), out: &out, err: &out})
			require.Equal(t, test.status, status, out.String())
			require.Contains(t, out.String(), test.want)
		})
	}
}
