package intake

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

const (
	// memoryMB is limits.memory_mb of the processes, and the bound of their resident memory. It is small, so that a small
	// crowd shows a process that does not bound what it reads.
	memoryMB = 32
	// descriptors is the number of descriptors that a process may open, and descriptorBound the number that may be in use
	// beside a crowd: the rest is for its own files and connections.
	descriptors     = 256
	descriptorBound = descriptors - descriptors/8
	// maxBody is limits.max_body_bytes of the configuration.
	maxBody = 262_144
	host    = "intake.example"
	service = "app"
	prefix  = "/q/"
	// startTimeout bounds the wait until a process serves, and answerTimeout that for an ordinary request after a crowd. Both
	// are generous: no verdict rests on them.
	startTimeout  = 15 * time.Second
	answerTimeout = 60 * time.Second
	// sampleInterval is the time between two looks at the memory and the descriptors of a process.
	sampleInterval = 10 * time.Millisecond
)

// program is the path of the program under test.
var program string

// TestMain builds the program without the race detector, also when the tests run with it: the detector's own memory is a
// multiple of the program's and would hide the bound.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "verbenakeel-intake-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "verbenakeel-fleet")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/verbenakeel/verbenakeel/cmd/verbenakeel-fleet").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started entry or side process with its listeners.
type process struct {
	*launch.Process
	t     testing.TB
	store *platformtest.Store
	// public and ready are listeners of an entry, control that of a side process; peer is one of both.
	public, ready, control, peer string
	// metrics is the listener for metrics, worker the address of the worker of a side process.
	metrics, worker string

	// hangAppends is true while the store does not answer appends.
	hangAppends            atomic.Bool
	maxResidentKB, maxOpen atomic.Int64
}

func startStore(t testing.TB) (*platformtest.Store, string) {
	t.Helper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	queue := fmt.Sprintf(`{"name":"q","host":%q,"path_prefix":%q,"timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":%q,"attempts":3,"stretch":2}`, host, prefix, service)
	store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":%q}],"limits":{"max_body_bytes":%d}}`, queue, service, maxBody)))
	return store, strings.TrimPrefix(server.URL, "http://")
}

// lastPort is the last port that freeAddress returned. The ports are below the range from which the operating system takes
// those of outgoing connections, and each is used once.
var lastPort atomic.Int64

const (
	firstPort = 21000
	portCount = 9000
)

// freeAddress returns an address that nothing listens on. Another program may still take it; start tries again then.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*41+lastPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, ln.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// start starts an entry or a side process and waits until it answers an ordinary request.
func start(t testing.TB, role string) *process {
	t.Helper()
	store, storeAddress := startStore(t)
	p := &process{t: t, store: store}
	store.Fault = p.fault
	for !p.launch(role, storeAddress) {
		t.Log("another program took an address; the process is started with others")
	}
	ctx, cancel := context.WithCancel(context.Background())
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			p.sample()
			time.Sleep(sampleInterval)
		}
	}()
	t.Cleanup(func() { cancel(); <-sampled })
	return p
}

// launch starts the process at free addresses. It returns false if another program has taken one of them.
func (p *process) launch(role, storeAddress string) bool {
	t := p.t
	t.Helper()
	p.peer, p.metrics = freeAddress(t), freeAddress(t)
	text := fmt.Sprintf("[process]\ninstance = n\nzone = z\n[limits]\nmemory_mb = %d\ncores = 0.5\n[services]\nstore = %s\n[listen]\npeer = %s\nmetrics = %s\n", memoryMB, storeAddress, p.peer, p.metrics)
	if role == "entry" {
		p.public, p.ready = freeAddress(t), freeAddress(t)
		text += fmt.Sprintf("public = %s\nready = %s\n", p.public, p.ready)
	} else {
		p.control, p.worker = freeAddress(t), freeAddress(t)
		text += fmt.Sprintf("control = %s\n[worker]\naddress = %s\nservice = %s\n", p.control, p.worker, service)
	}
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	// The shell lowers the number of descriptors and is replaced by the program.
	script := fmt.Sprintf("ulimit -n %d && exec %q %s --settings %q", descriptors, program, role, path)
	var err error
	p.Process, err = launch.ForTest(t).Start(launch.Spec{Name: role, Path: "/bin/sh", Args: []string{"-c", script}})
	assert.NilError(t, err)
	taken := false
	p.waitFor("the start", startTimeout, func() error {
		err := p.ordinary()
		if taken = !p.alive() && strings.Contains(p.Output(), "address already in use"); taken {
			return nil
		}
		return err
	})
	return !taken
}

// sample records the resident memory and the open descriptors.
func (p *process) sample() {
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID())); err == nil {
		for _, line := range strings.Split(string(status), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
				p.maxResidentKB.Store(max(p.maxResidentKB.Load(), kb))
			}
		}
	}
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID())); err == nil {
		p.maxOpen.Store(max(p.maxOpen.Load(), int64(len(fds))))
	}
}

func (p *process) alive() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// waitFor polls a condition until it holds.
func (p *process) waitFor(what string, limit time.Duration, cond func() error) {
	p.t.Helper()
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = cond(); err == nil {
			return
		}
		// The process may have ended while the condition was checked.
		if !p.alive() {
			if cond() == nil {
				return
			}
			p.t.Fatalf("%s: the process ended: %.2000s", what, p.Output())
		}
	}
	p.t.Fatalf("%s: %v", what, err)
}

// check fails the test if the process ended, used more memory or descriptors than its settings allow, or no longer answers.
func (p *process) check() {
	p.t.Helper()
	p.sample()
	p.t.Logf("resident memory up to %d KB of %d, descriptors up to %d of %d, alive %v",
		p.maxResidentKB.Load(), memoryMB<<10, p.maxOpen.Load(), descriptorBound, p.alive())
	if kb := p.maxResidentKB.Load(); kb > memoryMB<<10 {
		p.t.Errorf("the resident memory reached %d KB; limits.memory_mb allows %d", kb, memoryMB<<10)
	}
	if n := p.maxOpen.Load(); n > descriptorBound {
		p.t.Errorf("%d descriptors were open; %d are allowed beside a crowd", n, descriptorBound)
	}
	p.waitFor("an ordinary request after the crowd", answerTimeout, p.ordinary)
}
