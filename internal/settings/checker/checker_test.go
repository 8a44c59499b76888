package checker

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const good = `[host]
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

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"nothing wrong", "", "", nil},
		{"a host name for an address", "127.0.0.1:7001", "log.example:7001",
			[]string{`test.ini:9: platform.log: "log.example:7001" is no address by IP number`}},
		{"a missing key", "region = erie\n", "", []string{"test.ini: host.region: is missing"}},
		{"an unknown key", "region = erie", "region = erie\ncolour = red", []string{"test.ini:5: host.colour: is unknown"}},
		{"a data centre outside the cell", "data_centre = erie-a", "data_centre = ohio-a",
			[]string{`test.ini:3: host.data_centre: "ohio-a" is not among cell.data_centres`}},
		{"several at once", "[platform]", "[claims]\nwindow = 5\ncap = 1ms\n[leases]\nlease = 2s\n[logging]\nlevel = loud\n[platform]",
			[]string{
				`test.ini:9: claims.window: "5" is out of range`, `test.ini:10: claims.cap: "1ms" is out of range`,
				"test.ini:12: leases.lease: 2s is too short", `test.ini:14: logging.level: "loud" is unknown`,
			}},
		{"no settings file", good, "[host\n", []string{"want lines of [section] and key = value"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := Parse("test.ini", []byte(strings.Replace(good, test.old, test.new, 1)))
			require.Len(t, faults, len(test.want), "%v", faults)
			for i, fault := range faults {
				require.Contains(t, fault.String(), test.want[i])
			}
		})
	}
}
