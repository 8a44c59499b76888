package checker

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validSettings is a settings file without faults.
const validSettings = `[host]
name = e1
data_centre = erie-a
region = erie
listen = 127.0.0.1:7100
[cell]
data_centres = erie-a, huron-a
[platform]
log = 127.0.0.1:7001
hosts = 127.0.0.1:7002
`

// Guards against a check that stops at the first fault, so that faults surface one start at a time,
// and against faults that name the wrong line or key.
func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid settings have no fault", "", "", nil},
		{"a host name in place of an IP address is a fault", "127.0.0.1:7001", "log.example:7001",
			[]string{`test.ini:9: platform.log: "log.example:7001" is not an IP address and port`}},
		{"a missing required key is a fault without a line", "region = erie\n", "", []string{"test.ini: host.region: is missing"}},
		{"an unknown key is a fault", "region = erie", "region = erie\ncolour = red", []string{"test.ini:5: host.colour: is unknown"}},
		{"a data centre that is not in the cell is a fault", "data_centre = erie-a", "data_centre = ohio-a",
			[]string{`test.ini:3: host.data_centre: "ohio-a" is not among cell.data_centres`}},
		{"several faults are reported in the order of their lines", "[platform]", "[claims]\nwindow = 5\ncap = 1ms\n[leases]\nlease = 2s\n[logging]\nlevel = loud\n[platform]",
			[]string{
				`test.ini:9: claims.window: "5" is out of range`, `test.ini:10: claims.cap: "1ms" is out of range`,
				"test.ini:12: leases.lease: 2s is too short", `test.ini:14: logging.level: "loud" is unknown`,
			}},
		{"limits for clients are checked", "[platform]", "[limits]\nmemory_mb = much\nmax_fds = 10\nreceive_buffer_bytes = 0\nbody_timeout = 1ms\n[platform]",
			[]string{
				`test.ini:9: limits.memory_mb: "much" is out of range`, `test.ini:10: limits.max_fds: "10" is out of range`,
				`test.ini:11: limits.receive_buffer_bytes: "0" is out of range`, `test.ini:12: limits.body_timeout: "1ms" is out of range`,
			}},
		{"content that is not INI is one fault", validSettings, "[host\n", []string{"want lines of [section] and key = value"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := Parse("test.ini", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			require.Len(t, faults, len(test.want), "%v", faults)
			for i, fault := range faults {
				require.Contains(t, fault.String(), test.want[i])
			}
		})
	}
}
