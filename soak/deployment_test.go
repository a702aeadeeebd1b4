// Package soak runs the system's binaries as separate processes on one machine and injects faults from outside: network
// faults by a proxy, signals to processes, and faults of workers and the store. It checks what callers and workers
// observe.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

const (
	// workerCPU is the CPU capacity of a worker in millicores.
	workerCPU = 4000
	// heartbeatInterval is the interval between the heartbeats of a worker.
	heartbeatInterval = 500 * time.Millisecond
	// callTimeout bounds the duration of a caller's request.
	callTimeout = 3 * time.Second
	host        = "soak.example"
	service     = "app"
)

// deployment is a deployment of the system's processes with a simulated store and simulated workers.
type deployment struct {
	t            *testing.T
	rng          *rand.Rand
	dir          string
	binary       string
	group        *launch.Group
	store        *platformtest.Store
	storeAddress string // host and port
	checker      *checker
	entries      []*node
	sides        []*node
	// over is true once the checks have ended and the processes are stopped.
	over atomic.Bool
	// maxLease is the longest lease that workers grant.
	maxLease time.Duration
	// lateCalls counts the calls to workers that were executed late.
	lateCalls atomic.Int64

	mu         sync.Mutex
	storeFault platformtest.Fault
}

// node is an instance with one process of the system, an entry or a side process.
type node struct {
	deployment *deployment
	name       string
	role       string
	// storeProxy is the proxy to the store, peerProxy the proxy to the process's listener for other processes.
	storeProxy, peerProxy *faultproxy.Proxy
	// workerProxy is the proxy to the worker; nil for entries.
	workerProxy *faultproxy.Proxy
	// public, ready, control and listen are the listening addresses of the process.
	public, ready, control, listen string

	// restartMu serializes restarts: a second process would find the addresses of the first in use, and nothing would stop
	// or resume the first any more.
	restartMu sync.Mutex
	mu        sync.Mutex
	process   *launch.Process
	// earlier is the output of the node's earlier processes.
	earlier string
	// stopping is the process that a restart ends; nil if there is none.
	stopping *launch.Process
	worker   *workerIncarnation
	// lateBy is how long calls to the worker are held back in nanoseconds, 0 if they are not; heldCalls counts those that were.
	lateBy, heldCalls atomic.Int64
	// heldPath is what the paths of the calls that are held back begin with; it is set before the first one.
	heldPath string
	// releaseStarts lets the starts that are held back be executed once it is closed; nil if only time does.
	releaseStarts chan struct{}
}

// workerIncarnation is one incarnation of a worker.
type workerIncarnation struct {
	*platformtest.Worker
	server *httptest.Server
	cancel context.CancelFunc
}

const (
	// minPort and maxPort bound the listening ports of processes. They are below the ephemeral ports: an outgoing
	// connection could otherwise take the port of a process while it restarts.
	minPort = 15_000
	maxPort = 31_000
)

// usedPorts holds the ports that freeAddress has returned. A process listens only after all addresses of its deployment
// were drawn, so that two of them could be the same.
var usedPorts sync.Map

// freeAddress returns a loopback address on which nothing listens and that it has not returned before.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := minPort + rand.IntN(maxPort-minPort)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, ln.Close())
			return address
		}
	}
}

func newDeployment(t *testing.T, seed uint64, entries, sides int) *deployment {
	t.Helper()
	binary, err := launch.Build("github.com/verbenakeel/verbenakeel/cmd/verbenakeel-fleet")
	assert.NilError(t, err)
	d := &deployment{t: t, rng: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), binary: binary, group: launch.ForTest(t), store: platformtest.NewStore()}
	d.checker = newChecker()
	// Drawn apart, so that the other draws of a seed stay as they are.
	d.maxLease = []time.Duration{6 * time.Second, 10 * time.Second}[rand.New(rand.NewPCG(seed, 8)).IntN(2)]
	d.store.Fault = func(string) platformtest.Fault {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.storeFault
	}
	server := httptest.NewServer(d.store)
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		d.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	d.publish(1)
	for i := range entries {
		d.entries = append(d.entries, d.newNode("entry", i))
	}
	for i := range sides {
		d.sides = append(d.sides, d.newNode("side", i))
	}
	for _, n := range append(append([]*node{}, d.entries...), d.sides...) {
		n.start()
		if n.role == "side" {
			n.bootWorker(0)
		}
	}
	return d
}

// publish writes a version of the configuration to the store. Odd versions have a second queue.
func (d *deployment) publish(version int) {
	routes := fmt.Sprintf(`{"name":"q","host":%q,"path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":%q,"attempts":3,"stretch":2}`, host, service)
	if version%2 == 1 {
		routes += fmt.Sprintf(`,{"name":"odd","host":%q,"path_prefix":"/odd/","timeout_ms":3000,"target_latency_ms":500,"priority":0,"service":%q,"attempts":3,"stretch":2}`, host, service)
	}
	d.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q}]}`, version, routes, service)))
}

func (d *deployment) newNode(role string, i int) *node {
	n := &node{deployment: d, name: fmt.Sprintf("%s-%d", role, i), role: role, public: freeAddress(d.t), ready: freeAddress(d.t),
		control: freeAddress(d.t), listen: freeAddress(d.t)}
	proxy := func(target string) *faultproxy.Proxy {
		p, err := faultproxy.New(target)
		assert.NilError(d.t, err)
		d.t.Cleanup(func() { _ = p.Close() })
		return p
	}
	n.storeProxy, n.peerProxy = proxy(d.storeAddress), proxy(n.listen)
	if role == "side" {
		n.workerProxy = proxy(d.storeAddress) // bootWorker sets the target
	}
	d.t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.worker != nil {
			n.worker.shutdown()
		}
	})
	return n
}

// start writes the settings of the process and starts it.
func (n *node) start() {
	path := filepath.Join(n.deployment.dir, n.name+".ini")
	text := fmt.Sprintf("[process]\ninstance = %s\nzone = z\n[limits]\ncores = 0.5\n[scheduling]\norder = scarcity\ndurations = learned\nadmission = backlog\nload_forecast = harmonic\n[listen]\npeer = %s\nadvertise = %s\n[services]\nstore = %s\n[bounds]\nhold_max = %s\n",
		n.name, n.listen, n.peerProxy.Address(), n.storeProxy.Address(), n.deployment.maxLease)
	if n.role == "entry" {
		text += fmt.Sprintf("[listen]\npublic = %s\nready = %s\n", n.public, n.ready)
	} else {
		text += fmt.Sprintf("[listen]\ncontrol = %s\n[worker]\naddress = %s\nservice = %s\n", n.control, n.workerProxy.Address(), service)
	}
	assert.NilError(n.deployment.t, os.WriteFile(path, []byte(text), 0o600))
	p, err := n.deployment.group.Start(launch.Spec{Name: n.name, Path: n.deployment.binary, Args: []string{n.role, "--settings", path}})
	if err != nil && n.deployment.over.Load() {
		return // the play ended during a restart by watch
	}
	assert.NilError(n.deployment.t, err)
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	go n.watch(p)
}

// addressRetry is the pause before a process is started again that found its address in use.
const addressRetry = 500 * time.Millisecond

// watch reports a process that ends by itself. One whose address another program on this machine has taken is started
// again, as the platform does.
func (n *node) watch(p *launch.Process) {
	<-p.Done()
	d := n.deployment
	d.checker.onOutput(n.name, p.Output())
	n.mu.Lock()
	ended := n.process == p && n.stopping != p
	n.earlier += p.Output()
	n.mu.Unlock()
	if !ended || d.over.Load() {
		return
	}
	out := strings.TrimSpace(p.Output())
	if strings.Contains(out, "address already in use") {
		time.Sleep(addressRetry)
		if d.over.Load() {
			return
		}
		n.restart(func(*launch.Process) error { return nil }, 0)
		return
	}
	d.checker.mu.Lock()
	defer d.checker.mu.Unlock()
	d.checker.reportf("ENDED: %s ended by itself: %s", n.name, out[strings.LastIndex(out, "\n")+1:])
}

// bootWorker starts a new incarnation of the node's worker, after it has shut down the previous one. It sends its first heartbeat after
// the given time.
func (n *node) bootWorker(quiet time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.worker != nil {
		n.worker.shutdown()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &workerIncarnation{Worker: platformtest.NewWorker(), cancel: cancel}
	w.StartedMs, w.MaxLease, w.ClockRate = time.Now().UnixMilli(), n.deployment.maxLease, 0.98
	life := fmt.Sprintf("%s (worker started at %d)", n.name, w.StartedMs)
	w.OnStart = func(task string, run int) {
		n.deployment.checker.onStart(life, task, run)
		w.scheduleEnd(ctx, n.deployment, task, run)
	}
	w.OnEnd = func(task string, run int, how string) { n.deployment.checker.onEnd(life, task, run, how) }
	w.OnAcknowledge = func(task string, run int, how string, lapsed bool) {
		n.deployment.checker.onForget(life, task, run, how, lapsed)
	}
	w.server = httptest.NewServer(n.serve(w.Worker))
	n.workerProxy.SetTarget(strings.TrimPrefix(w.server.URL, "http://"))
	n.workerProxy.CloseConnections()
	n.worker = w
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(quiet):
			w.sendHeartbeats(ctx, n)
		}
	}()
}

func (w *workerIncarnation) shutdown() {
	w.cancel()
	w.Close()
	w.server.CloseClientConnections()
	w.server.Close()
}

// scheduleEnd ends a run after the duration and with the result that drawRun derives from its name, so that they are the
// same whenever a seed is repeated.
func (w *workerIncarnation) scheduleEnd(ctx context.Context, d *deployment, task string, run int) {
	duration, result := d.checker.drawRun(task, run)
	go func() {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			w.End(task, run, result)
		}
	}()
}

// sendHeartbeats sends heartbeats until ctx ends.
func (w *workerIncarnation) sendHeartbeats(ctx context.Context, n *node) {
	client := &http.Client{Timeout: heartbeatInterval}
	for seq := int64(1); ctx.Err() == nil; seq++ {
		path, body := platformtest.Heartbeat("i-"+n.name, service, n.workerProxy.Address(), "z", w.StartedMs, seq, workerCPU, false)
		resp, err := client.Post("http://"+n.control+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// restart ends the process with the given function, waits for the pause and starts it again.
func (n *node) restart(stop func(*launch.Process) error, pause time.Duration) {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	n.mu.Lock()
	p := n.process
	n.stopping = p
	n.mu.Unlock()
	if err := stop(p); err != nil {
		n.deployment.t.Logf("stop %s: %v", n.name, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if _, err := p.Wait(ctx); err != nil {
		n.deployment.t.Logf("wait for %s: %v", n.name, err)
		_ = p.Kill()
	}
	time.Sleep(pause)
	n.start()
}
