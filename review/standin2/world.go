package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

const (
	host    = "review.example"
	service = "app"
	zone    = "z1"
	// topicOperator and topicJobs are topics of the store.
	topicOperator = "keyed.op"
	topicJobs     = "keyed.jobs"
	// restartPause is how long the platform waits before it starts a process again that has ended.
	restartPause = 500 * time.Millisecond
	// memoryPoll is the interval at which the platform looks at the memory of a process.
	memoryPoll = 20 * time.Millisecond
	// minPort and maxPort bound the ports of listeners.
	minPort = 15_000
	maxPort = 31_000
)

// world is a small deployment: a store, entries, and side processes with their workers.
type world struct {
	program, dir string
	began        time.Time

	mu     sync.Mutex
	record *os.File
	closed bool

	// nodesMu guards nodes and closing. No process is started once closing is true.
	nodesMu sync.Mutex
	nodes   []*node
	closing bool
	// processes counts the processes that have not ended.
	processes sync.WaitGroup

	store  *platformtest.Store
	server *httptest.Server
	// intercept handles a request to the store in place of it, and reports whether it did; nil for none.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte, serve http.Handler) bool
	// adviser is the address of the service that knows which workers may run a step; empty if there is none. policy is the field
	// of the queue that says so.
	adviser, policy string
	// used holds the ports that were given out.
	used map[int]bool
}

func newWorld(program, recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, began: time.Now(), record: record, store: platformtest.NewStore(), used: map[int]bool{}}
	w.server = httptest.NewServer(http.HandlerFunc(w.serveStore))
	return w, nil
}

// rec writes a line to the record.
func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.mu.Lock()
	f := w.intercept
	w.mu.Unlock()
	if f != nil && f(rw, r, body, w.store) {
		return
	}
	w.store.ServeHTTP(rw, r)
}

func (w *world) setIntercept(f func(http.ResponseWriter, *http.Request, []byte, http.Handler) bool) {
	w.mu.Lock()
	w.intercept = f
	w.mu.Unlock()
}

// addNode adds a node and starts its process.
func (w *world) addNode(n *node) (*node, error) {
	w.nodesMu.Lock()
	w.nodes = append(w.nodes, n)
	w.nodesMu.Unlock()
	return n, n.start()
}

// list returns the nodes.
func (w *world) list() []*node {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	return append([]*node(nil), w.nodes...)
}

// close ends all processes, waits until they have ended, and ends the servers.
func (w *world) close() {
	w.nodesMu.Lock()
	w.closing = true
	w.nodesMu.Unlock()
	for _, n := range w.list() {
		n.remove()
	}
	w.processes.Wait()
	w.store.Close()
	w.server.CloseClientConnections()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// address returns a free loopback address below the range of outgoing connections.
func (w *world) address() string {
	for {
		port := minPort + rand.IntN(maxPort-minPort)
		if w.used[port] {
			continue
		}
		w.used[port] = true
		a := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", a); err == nil {
			_ = ln.Close()
			return a
		}
	}
}

// node is a machine with one process of the system.
type node struct {
	w                                   *world
	name, role                          string
	memoryMB                            int
	public, ready, control, peer, meter string
	worker                              *worker

	mu      sync.Mutex
	cmd     *exec.Cmd
	removed bool
	// killed counts the ends of the process because of its memory, and peakMB is the most that it used.
	killed, peakMB int
}

func (w *world) addEntry(name string) (*node, error) {
	n := &node{w: w, name: name, role: "entry", memoryMB: 284, public: w.address(), ready: w.address(), peer: w.address(), meter: w.address()}
	return w.addNode(n)
}

func (w *world) addSide(name string, wk *worker) (*node, error) {
	n := &node{w: w, name: name, role: "side", memoryMB: 152, control: w.address(), peer: w.address(), meter: w.address(), worker: wk}
	return w.addNode(n)
}

// start writes the settings as deploy/settings.ini has them and starts the process.
func (n *node) start() error {
	workerAddress, serviceName := "", ""
	if n.worker != nil {
		workerAddress, serviceName = n.worker.address, service
	}
	cores := "0.4"
	if n.role == "side" {
		cores = "0.24"
	}
	text := fmt.Sprintf(`[process]
instance = %s
zone = %s
region = r1
[limits]
memory_mb = %d
cores = %s
max_fds = 4100
[listen]
public = %s
ready = %s
control = %s
peer = %s
advertise =
metrics = %s
[services]
store = %s
adviser = %s
[worker]
address = %s
service = %s
[bounds]
hold_max = 6000ms
grace = 6s
harm = 4000ms
notice = 4500ms
status = 120s
far_factor = 1.5
restore = 600ms
finish = 14s
[scheduling]
admission = backlog
order = scarcity
durations = learned
load_forecast = harmonic
`, n.name, zone, n.memoryMB, cores, n.public, n.ready, n.control, n.peer, n.meter, strings.TrimPrefix(n.w.server.URL, "http://"), n.w.adviser, workerAddress, serviceName)
	path := filepath.Join(n.w.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.removed {
		return nil
	}
	cmd := exec.Command(n.w.program, n.role, "--settings", path)
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	defer out.Close()
	n.w.nodesMu.Lock()
	defer n.w.nodesMu.Unlock()
	if n.w.closing {
		return fmt.Errorf("the play has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.w.processes.Add(1)
	n.cmd = cmd
	n.w.rec("%s: process %d started", n.name, cmd.Process.Pid)
	go n.watch(cmd)
	return nil
}

// watch kills the process when it uses more memory than its machine has, and starts it again after it has ended.
func (n *node) watch(cmd *exec.Cmd) {
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
			}
			mb := residentMB(cmd.Process.Pid)
			n.mu.Lock()
			n.peakMB = max(n.peakMB, mb)
			n.mu.Unlock()
			if mb > n.memoryMB {
				n.mu.Lock()
				n.killed++
				n.mu.Unlock()
				n.w.rec("%s: process %d uses %d MB of %d; it is killed", n.name, cmd.Process.Pid, mb, n.memoryMB)
				_ = cmd.Process.Kill()
				return
			}
		}
	}()
	err := cmd.Wait()
	n.w.processes.Done()
	close(stop)
	n.mu.Lock()
	again := !n.removed && n.cmd == cmd
	n.mu.Unlock()
	if !again {
		return
	}
	n.w.rec("%s: process %d ended: %v", n.name, cmd.Process.Pid, err)
	time.Sleep(restartPause)
	_ = n.start()
}

// residentMB returns the resident memory of a process, as the kernel tells it.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// remove ends the process for good.
func (n *node) remove() {
	n.mu.Lock()
	n.removed = true
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	if n.worker != nil {
		n.worker.end()
	}
}

// waitReady waits until all entries are ready.
func (w *world) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.list() {
			if n.role != "entry" {
				continue
			}
			resp, err := client.Get("http://" + n.ready + "/-/ready")
			if err != nil || resp.StatusCode != http.StatusOK {
				all = false
			}
			if err == nil {
				_ = resp.Body.Close()
			}
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after 15 s")
}

// call sends a request of a client and returns the status and the body; 0 if there was no response.
func (w *world) call(n *node, method, path, body string, timeout time.Duration) (int, string) {
	return w.callUntil(n, method, path, body, timeout, timeout)
}

// callUntil is like call for a client that leaves before its deadline.
func (w *world) callUntil(n *node, method, path, body string, deadline, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.public+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Verbenakeel-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	short := body
	if len(short) > 160 {
		short = short[:160] + "..."
	}
	sent := time.Now()
	w.rec("client -> %s: %s %s %s", n.name, method, path, short)
	resp, err := client.Do(req)
	if err != nil {
		w.rec("client <- %s: %s %s: no answer after %d ms: %v", n.name, method, path, time.Since(sent).Milliseconds(), err)
		return 0, ""
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	w.rec("client <- %s: %s %s: %d %s (%d ms)", n.name, method, path, resp.StatusCode, strings.TrimSpace(string(got)), time.Since(sent).Milliseconds())
	return resp.StatusCode, string(got)
}

// putConfig publishes the configuration with one queue.
func (w *world) putConfig() {
	w.store.Put(topicOperator, "config", []byte(fmt.Sprintf(`{"version":7,"routes":[{"name":"q","host":%q,"path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":1,"service":%q,"attempts":3,"stretch":2.0%s}],"services":[{"name":%q,"enforces_capacity":true}],"limits":{"max_body_bytes":262144}}`,
		host, service, w.policy, service)))
}

// small starts a deployment of entries and of workers of 16 cores with their side processes, and waits until it serves.
func (w *world) small(entries, workers int) ([]*node, []*worker, error) {
	w.putConfig()
	var fronts []*node
	var list []*worker
	for i := range entries {
		n, err := w.addEntry(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, n)
	}
	for i := range workers {
		k, err := w.addWorker(i + 1)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, k)
	}
	if err := w.waitReady(); err != nil {
		return nil, nil, err
	}
	// An ordinary job shows that the deployment serves before anything is done to it.
	first := "00000000000000a1"
	if !w.submit(fronts[0], first, ordinary(300)) || !w.completes(fronts[0], first, 20*time.Second) {
		return nil, nil, fmt.Errorf("the first job was not served")
	}
	return fronts, list, nil
}

// addWorker starts a side process and its worker.
func (w *world) addWorker(number int) (*worker, error) { return w.addLabelled(number, "a") }

// addLabelled starts a side process and its worker, which has a label.
func (w *world) addLabelled(number int, label string) (*worker, error) {
	k := w.newWorker(16000)
	k.label = label
	s, err := w.addSide(fmt.Sprintf("side-%03d", number), k)
	if err != nil {
		return nil, err
	}
	k.control = s.control
	if err := awaitListener(s.control); err != nil {
		return nil, err
	}
	return k, k.begin(fmt.Sprintf("i-%03d", number), 0)
}

// awaitListener waits until a process listens at an address.
func awaitListener(address string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s after 10 s", address)
}

// ordinary returns the body of a job with one task that takes some milliseconds.
func ordinary(ms int) string {
	return fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":1,"cpu":500,"mem_mb":100,"est_ms":%d}]}`, ms, ms)
}

// submit hands in a job, with up to 4 retries as a client does, and reports whether it was accepted.
func (w *world) submit(n *node, id, body string) bool {
	for range 5 {
		if status, _ := w.call(n, http.MethodPost, "/q/"+id, body, 3*time.Second); status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// completes asks for a job until it is shown as completed, for some time.
func (w *world) completes(n *node, id string, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, body := w.call(n, http.MethodGet, "/q/"+id, "", 3*time.Second); status == http.StatusOK && strings.Contains(body, "completed") {
			return true
		}
	}
	return false
}
