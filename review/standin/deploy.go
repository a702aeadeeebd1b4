package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "desk-app"
	hostName    = "desk.example"
	queuePrefix = "/jobs/"
	queueName   = "desk"
	// program is the program of the deploy file.
	program = "target/verbenakeel-fleet"
	// templatePath is the template of the settings that the deploy file names.
	templatePath = "deploy/settings.ini"
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// clientTimeout is how long clients wait for an answer.
	clientTimeout = 3 * time.Second
)

var zones = []string{"delta-a", "delta-b", "delta-c"}

// deployment is a small deployment: an entry in each zone and some workers, each with its side process.
type deployment struct {
	rec     *record
	runs    *runLog
	dir     string
	store   *store
	entries []*machine
	sides   []*machine
	workers []*worker

	mu sync.Mutex
	// jobs holds the sizes of the tasks of submitted jobs, by job and step.
	jobs map[string][]taskSize
	over bool
}

// machine runs one process of the system.
type machine struct {
	d        *deployment
	name     string
	role     string
	settings string
	front    string
	ready    string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newDeployment starts the stand-ins and the processes. Labels holds the labels of each worker.
func newDeployment(rec *record, labels [][]string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	d := &deployment{rec: rec, runs: &runLog{rec: rec}, dir: dir, store: newStore(rec), jobs: map[string][]taskSize{}}
	net, err := freeNetwork(len(zones) + len(labels))
	if err != nil {
		return nil, err
	}
	d.store.put("keyed.op", "config", encode(map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": queueName, "host": hostName, "path_prefix": queuePrefix, "timeout_ms": 3000,
			"target_latency_ms": 250, "priority": 0, "service": serviceName, "attempts": 4, "stretch": 2.0}},
		"services": []any{map[string]any{"name": serviceName, "enforces_capacity": true}}, "limits": map[string]any{"max_body_bytes": 262144}}))
	for i, zone := range zones {
		m, err := d.newMachine("entry", fmt.Sprintf("front-%s-1", zone), zone, net.ip(i))
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, m)
	}
	for i, l := range labels {
		zone := zones[i%len(zones)]
		ip := net.ip(len(zones) + i)
		m, err := d.newMachine("side", fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), zone, ip)
		if err != nil {
			return nil, err
		}
		d.sides = append(d.sides, m)
		w, err := newWorker(rec, d.runs, m.name, zone, l, ip+":8360", ip+":8368")
		if err != nil {
			return nil, err
		}
		w.size = d.taskSize
		d.workers = append(d.workers, w)
	}
	for _, m := range append(append([]*machine{}, d.entries...), d.sides...) {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for _, w := range d.workers {
		w.boot()
	}
	return d, nil
}

// network is a range of loopback addresses that nothing uses.
type network struct{ prefix string }

func (n network) ip(i int) string { return fmt.Sprintf("%s.%d", n.prefix, i+1) }

// freeNetwork returns a range of loopback addresses whose ports are free.
func freeNetwork(machines int) (network, error) {
	for range 50 {
		n := network{fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
		free := true
		for i := range machines {
			for _, port := range []int{7100, 8161, 8167, 8169, 8360, 8368, 19464} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip(i), port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return network{}, errors.New("find free loopback addresses: none of 50 ranges is free")
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// newMachine renders the settings of a process from the template, as the platform does. Each machine reaches the store at an
// address of its own, which shows the store who calls.
func (d *deployment) newMachine(role, name, zone, ip string) (*machine, error) {
	m := &machine{d: d, name: name, role: role, settings: filepath.Join(d.dir, name+".ini")}
	ln, err := net.Listen("tcp", ip+":8169")
	if err != nil {
		return nil, fmt.Errorf("listen for calls of the store: %w", err)
	}
	serve(ln, d.store.handler(name))
	values := map[string]string{"node": name, "zone": zone, "region": "eg-delta", "limits.memory_mb": "152", "limits.cpu_share": "0.24",
		"ip": ip, "port_range.0": "7100", "platform.addr": ip + ":8169", "bounds.hold_max_ms": "10000", "bounds.grace_s": "6",
		"bounds.harm_ms": "4000", "bounds.notice_ms": "4500", "bounds.status_s": "120", "bounds.far_x": "1.5", "bounds.restore_ms": "600",
		"bounds.finish_s": "14"}
	if role == "entry" {
		m.front, m.ready = ip+":8161", ip+":8167"
		values["limits.memory_mb"], values["limits.cpu_share"] = "284", "0.16"
		values["listen.front"], values["listen.ready"] = m.front, m.ready
	} else {
		values["listen.control"], values["app"], values["service"] = ip+":8368", ip+":8360", serviceName
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, fmt.Errorf("read the template of the settings: %w", err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings: %w", err)
	}
	return m, nil
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	if m.d.over {
		return nil
	}
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	cmd := exec.Command(program, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.dir, "LANG=C", "VERBENAKEEL_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.d.rec.printf("process %s: has ended", m.name)
		close(ended)
	}()
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.d.rec.printf("process %s: started", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
	return m.ended
}

// killAndRestart kills the process; the platform starts it again after a short delay.
func (m *machine) killAndRestart() error {
	m.d.rec.printf("process %s: SIGKILL", m.name)
	<-m.signal(syscall.SIGKILL)
	time.Sleep(restartDelay)
	return m.start()
}

// stop ends all processes. It keeps their logs if the variable REVIEW_LOGS names a folder.
func (d *deployment) stop() {
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	for _, m := range append(append([]*machine{}, d.entries...), d.sides...) {
		m.mu.Lock()
		running := m.cmd != nil
		m.mu.Unlock()
		if running {
			<-m.signal(syscall.SIGKILL)
		}
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// decider returns the entry that last wrote to the store under a condition.
func (d *deployment) decider() *machine {
	name := d.store.conditionalWriter()
	for _, m := range d.entries {
		if m.name == name {
			return m
		}
	}
	return nil
}

// taskSize returns the size of a task of a submitted job.
func (d *deployment) taskSize(task string) taskSize {
	parts := strings.Split(task, ".")
	step := 0
	_, _ = fmt.Sscan(parts[2], &step)
	d.mu.Lock()
	defer d.mu.Unlock()
	size := d.jobs[parts[0]][step]
	if size.spread > 0 {
		// The tasks of a step end at different times, the same in each run of a case.
		index := 0
		_, _ = fmt.Sscan(parts[3], &index)
		size.duration += size.spread * time.Duration(index*7919%1000) / 1000
	}
	return size
}

// request sends a request of a client to an entry.
func (d *deployment) request(m *machine, method, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Verbenakeel-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.rec.printf("client: %s %s%s at %s -> %v", method, queuePrefix, id, m.name, err)
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	d.rec.printf("client: %s %s%s at %s -> %d %s", method, queuePrefix, id, m.name, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, answer, err
}

// inRotation returns the entries that report that they are ready.
func (d *deployment) inRotation() []*machine {
	client := &http.Client{Timeout: time.Second}
	var list []*machine
	for _, m := range d.entries {
		resp, err := client.Get("http://" + m.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			list = append(list, m)
		}
	}
	return list
}

// step is a step of a submission.
type step struct {
	Count     int    `json:"count"`
	CPU       int64  `json:"cpu"`
	MemMB     int64  `json:"mem_mb"`
	EstMs     int64  `json:"est_ms"`
	DependsOn []int  `json:"depends_on,omitempty"`
	Requires  string `json:"requires,omitempty"`
	Gang      bool   `json:"gang,omitempty"`
	Saves     bool   `json:"checkpointable,omitempty"`
	// spread is by how much the durations of the tasks differ.
	spread time.Duration
}

// submission is a job as clients hand it in.
type submission struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMs   int64  `json:"start_at_ms,omitempty"`
	IntervalMs  int64  `json:"interval_ms,omitempty"`
}

// submit hands a job in until it is accepted, as clients do: a request without an answer or with 502, 503 or 504 is sent
// again, at another entry.
func (d *deployment) submit(id string, job submission) error {
	d.mu.Lock()
	for _, s := range job.Steps {
		d.jobs[id] = append(d.jobs[id], taskSize{cpu: s.CPU, memMB: s.MemMB, duration: time.Duration(s.EstMs) * time.Millisecond, spread: s.spread, saves: s.Saves})
	}
	d.mu.Unlock()
	for try := 0; try < 8; try++ {
		if list := d.inRotation(); len(list) > 0 {
			status, _, err := d.request(list[try%len(list)], http.MethodPost, id, encode(job))
			if err == nil && status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("hand in job %s: it was not accepted", id)
}

// state asks for the state of a job; it is empty without an answer.
func (d *deployment) state(id string) string {
	for _, m := range d.inRotation() {
		status, body, err := d.request(m, http.MethodGet, id, nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			State string `json:"state"`
		}
		if json.Unmarshal(body, &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// awaitState asks for the state of a job until it is the wanted one or the time is up.
func (d *deployment) awaitState(id, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if d.state(id) == want {
			return true
		}
	}
	return false
}

// awaitReady waits until all entries are ready and a first job has run.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); len(d.inRotation()) < len(d.entries); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("wait for the entries: not all are ready after 15 s")
		}
	}
	const first = "00000000000000f1"
	if err := d.submit(first, submission{Spec: "first", Steps: []step{{Count: 2 * len(d.workers), CPU: 1000, MemMB: 64, EstMs: 500}}}); err != nil {
		return err
	}
	if !d.awaitState(first, "completed", 15*time.Second) {
		return errors.New("wait for the first job: it is not completed after 15 s")
	}
	return nil
}

// pending asks an entry for the length of the queue.
func (d *deployment) pending(m *machine) (int, error) {
	status, body, err := d.request(m, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("ask %s for the length of the queue: status %d", m.name, status)
	}
	var answer struct {
		Pending int `json:"pending"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, fmt.Errorf("read the length of the queue: %w", err)
	}
	return answer.Pending, nil
}
