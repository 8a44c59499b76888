package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/platform/messages"
)

// processes is a cell whose parts run as separate processes.
type processes struct {
	t     *testing.T
	dir   string
	log   string
	hosts string
	entry map[string]*process
}

// process is a running process with its output and the address that it listens on.
type process struct {
	command *exec.Cmd
	output  *safeBuffer
	address string
}

// safeBuffer is a buffer that a process writes to while the test reads it.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// addressPattern matches the address in the output of a process.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// eventTimeout limits the wait for an event. It is far longer than any of them takes.
const eventTimeout = time.Minute

// newProcesses builds the programs and starts a log, a host list, workers and upstreams. Entry hosts are
// started by addEntry.
func newProcesses(t *testing.T, workers, upstreams int) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir(), entry: make(map[string]*process)}
	for name, pkg := range map[string]string{"lentilrock": "lentilrock.example", "platform": "lentilrock.example/internal/standin/platform"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(p.dir, name), pkg).CombinedOutput()
		require.NoErrorf(t, err, "%s", out)
	}
	p.log = p.start("platform", "log").address
	p.hosts = p.start("platform", "hosts").address
	location := []string{"--hosts", p.hosts, "--data-centre", "erie-a", "--region", "erie"}
	p.start("platform", append([]string{"workers", "--count", fmt.Sprint(workers)}, location...)...)
	p.start("platform", append([]string{"upstreams", "--service", "shedwatch", "--count", fmt.Sprint(upstreams)}, location...)...)
	return p
}

// start starts a process and waits until its output reports that it is ready.
func (p *processes) start(program string, arguments ...string) *process {
	p.t.Helper()
	started := &process{command: exec.Command(filepath.Join(p.dir, program), arguments...), output: &safeBuffer{}}
	started.command.Stdout = started.output
	started.command.Stderr = started.output
	require.NoError(p.t, started.command.Start())
	p.t.Cleanup(func() {
		// Errors are ignored, since the process may have ended before. SIGCONT resumes a stopped process.
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		_ = started.command.Wait()
	})
	p.wait("readiness of "+program, func() bool {
		text := started.output.String()
		return strings.Contains(text, "istening") || strings.Contains(text, "listens") || strings.Contains(text, "are ready")
	})
	started.address = addressPattern.FindString(started.output.String())
	return started
}

// wait polls until a condition holds, and fails the test after eventTimeout.
func (p *processes) wait(what string, isMet func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			p.t.Fatalf("timeout while waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// addEntry starts an entry host and adds it to the host list.
func (p *processes) addEntry(name string) *process {
	p.t.Helper()
	path := filepath.Join(p.dir, name+".ini")
	settings := fmt.Sprintf("[host]\nname = %s\ndata_centre = erie-a\nregion = erie\nlisten = 127.0.0.1:0\n"+
		"[cell]\ndata_centres = erie-a\n[platform]\nlog = %s\nhosts = %s\n", name, p.log, p.hosts)
	require.NoError(p.t, os.WriteFile(path, []byte(settings), 0o600))
	e := p.start("lentilrock", "serve", path)
	p.entry[name] = e
	enlist := exec.Command(filepath.Join(p.dir, "platform"), "enlist", "--hosts", p.hosts,
		"--name", name, "--data-centre", "erie-a", "--region", "erie", e.address)
	out, err := enlist.CombinedOutput()
	require.NoErrorf(p.t, err, "%s", out)
	return e
}

// do runs a statement with "lentilrock do" and returns the output and the exit status.
func (p *processes) do(e *process, statement string) (string, int) {
	var out, errs bytes.Buffer
	status := run([]string{"do", "--host", e.address, statement}, streams{in: strings.NewReader(""), out: &out, err: &errs})
	return out.String() + errs.String(), status
}

// request sends a request with "lentilrock request" and returns the response and the exit status.
func (p *processes) request(e *process, key, body string) (string, int) {
	var out, errs bytes.Buffer
	status := run([]string{"request", "--host", e.address, "shedwatch", body, "--key", key, "--once", "--timeout", "20s"},
		streams{in: strings.NewReader(""), out: &out, err: &errs})
	return out.String(), status
}

// holder waits until one of the named hosts holds the claim of shard erie-a/0 and has a designated
// successor (heir), and returns the name of that host.
func (p *processes) holder(among ...string) string {
	p.t.Helper()
	found := ""
	p.wait("a holder among "+strings.Join(among, ", "), func() bool {
		for _, name := range among {
			out, _ := p.do(p.entry[name], "show shards")
			for _, line := range strings.Split(out, "\n") {
				fields := strings.Fields(line)
				if len(fields) >= 5 && fields[0] == "erie-a/0" && fields[4] == "holding" && fields[2] != "-" {
					found, _, _ = strings.Cut(fields[1], "@")
				}
			}
		}
		for _, name := range among {
			if name == found {
				return true
			}
		}
		return false
	})
	return found
}

// addresses returns the addresses of the hosts with a role.
func (p *processes) addresses(e *process, role string) []string {
	var list []string
	out, _ := p.do(e, "show hosts where role = "+role)
	for _, line := range strings.Split(out, "\n") {
		if fields := strings.Fields(line); len(fields) > 5 && fields[1] == role {
			list = append(list, fields[5])
		}
	}
	return list
}

// get requests a path over HTTP and decodes the JSON response.
func get[T any](t *testing.T, address, path string) T {
	t.Helper()
	_, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	response, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var value T
	require.NoError(t, json.Unmarshal(data, &value))
	return value
}

// checkWorkers checks in the workers' own run logs that no two runs of a task overlapped, and returns the
// number of running tasks of each job.
func (p *processes) checkWorkers(e *process) map[string]int {
	p.t.Helper()
	runs := make(map[string]int)
	byTask := make(map[string][]messages.Run)
	for _, address := range p.addresses(e, "worker") {
		for _, r := range get[messages.WorkerRuns](p.t, address, "/runs").Runs {
			byTask[r.Task.String()] = append(byTask[r.Task.String()], r)
			if r.State == messages.TaskRunning {
				runs[string(r.Task.Job)]++
			}
		}
	}
	now := time.Now()
	for task, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				endOfA, endOfB := a.Ended, b.Ended
				if endOfA.IsZero() {
					endOfA = now
				}
				if endOfB.IsZero() {
					endOfB = now
				}
				require.Falsef(p.t, a.Began.Before(endOfB) && b.Began.Before(endOfA), "runs of task %s overlapped", task)
			}
		}
	}
	return runs
}

// Guards against a takeover that runs a task or request twice or loses it. The holder is killed, or stopped
// and resumed when another host may have taken over; in half of the cases the log has an outage.
// Afterwards the service's tasks still run, once each, a retried request gets its first response, and no
// upstream has run a request twice.
func TestTakeoverFromKilledOrStoppedHolderRunsNothingTwice(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
		outage bool
	}{
		{"killed holder", syscall.SIGKILL, false},
		{"stopped and resumed holder", syscall.SIGSTOP, false},
		{"killed holder during an outage of the log", syscall.SIGKILL, true},
		{"stopped and resumed holder during an outage of the log", syscall.SIGSTOP, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProcesses(t, 4, 2)
			names := []string{"e1", "e2", "e3"}
			for _, name := range names {
				p.addEntry(name)
			}
			holder := p.holder(names...)
			var others []string
			for _, name := range names {
				if name != holder {
					others = append(others, name)
				}
			}
			out, status := p.do(p.entry[holder], "quota lakeshore = 50")
			require.Equal(t, ExitOK, status, out)
			out, status = p.do(p.entry[holder], "submit service sensors team lakeshore tasks 4 cores 1 memory 1Gi")
			require.Equal(t, ExitOK, status, out)
			p.wait("all tasks of the service to run", func() bool { return p.checkWorkers(p.entry[holder])["sensors"] == 4 })
			first, status := p.request(p.entry[others[0]], "alert-1", "fan 3")
			require.Equal(t, ExitOK, status, first)

			p.setOutage(test.outage)
			require.NoError(t, p.entry[holder].command.Process.Signal(test.signal))
			if test.outage {
				time.Sleep(5 * time.Second)
				p.setOutage(false)
			}
			next := p.holder(others...)
			again, status := p.request(p.entry[others[1]], "alert-1", "fan 3")
			require.Equal(t, ExitOK, status)
			require.Equal(t, first, again, "a retried request gets the first response")
			late, status := p.request(p.entry[others[0]], "alert-2", "fan 4")
			require.Equal(t, ExitOK, status, late)
			if test.signal == syscall.SIGSTOP {
				require.NoError(t, p.entry[holder].command.Process.Signal(syscall.SIGCONT))
				time.Sleep(2 * time.Second)
			}
			require.Equal(t, 4, p.checkWorkers(p.entry[next])["sensors"], "all tasks of the service still run")
			runs := make(map[string]int)
			for _, address := range p.addresses(p.entry[next], "upstream") {
				for _, r := range get[messages.UpstreamRuns](t, address, "/runs").Runs {
					runs[r.ID]++
				}
			}
			require.Equal(t, map[string]int{"alert-1": 1, "alert-2": 1}, runs)
		})
	}
}

// setOutage starts or ends an outage of the log.
func (p *processes) setOutage(down bool) {
	p.t.Helper()
	body, err := json.Marshal(messages.LogFault{Down: down})
	require.NoError(p.t, err)
	response, err := http.Post("http://"+p.log+"/fault", "application/json", bytes.NewReader(body))
	require.NoError(p.t, err)
	response.Body.Close()
}
