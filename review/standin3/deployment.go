package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployments.
const (
	heartbeatMs = 1500
	holdMaxMs   = 6000
	graceS      = 6
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// Ports are the same on all machines.
const (
	portFront, portReady, portControl, portPeer, portApp = 8161, 8167, 8166, 7720, 8165
)

// deployment is a small deployment of the system's processes, with stand-ins of the platform.
type deployment struct {
	dir      string
	template string
	service  string
	rec      *record
	store    *store
	storeAt  string
	prefix   string
	machines []*machine
	version  int
}

// machine is a machine of the system with one process.
type machine struct {
	d              *deployment
	name, role, ip string
	zone           string
	worker         *worker
	settings       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	down    bool
	ownEnds int
	// memoryMB is the memory that the process may use.
	memoryMB int
}

func newDeployment(dir string, rec *record) (*deployment, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, template: string(template), service: "fitcheck", rec: rec, store: newStore()}
	d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	d.storeAt = d.prefix + "250:8169"
	if err := serve(d.storeAt, d.store); err != nil {
		return nil, err
	}
	return d, nil
}

func serve(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, h) }()
	return nil
}

// add adds a machine. Settings of the platform that the template does not use are left out.
func (d *deployment) add(role string, i int) *machine {
	host := map[string]int{"entry": 10, "side": 30}[role] + i
	m := &machine{d: d, name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: fmt.Sprintf("%s%d", d.prefix, host), zone: fmt.Sprintf("midshire-%c", 'a'+i%3)}
	share, fds := "0.4", "4100"
	m.memoryMB = 284
	if role == "side" {
		share, fds, m.memoryMB = "0.24", "4096", 152
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	values := map[string]string{"node": m.name, "zone": m.zone, "region": "midshire", "limits.memory_mb": fmt.Sprint(m.memoryMB), "limits.cpu_share": share, "limits.max_fds": fds,
		"listen.control": at(portControl), "ip": m.ip, "port_range.0": fmt.Sprint(portPeer), "platform.addr": d.storeAt, "platform.record_bytes": fmt.Sprint(recordBytes),
		"platform.call_bytes": fmt.Sprint(callBytes), "advice": "", "bounds.hold_max_ms": fmt.Sprint(holdMaxMs), "bounds.grace_s": fmt.Sprint(graceS), "bounds.harm_ms": "4000",
		"bounds.notice_ms": "4500", "bounds.status_s": "120", "bounds.far_x": "1.5", "bounds.restore_ms": "600", "bounds.finish_s": "14",
		"listen.front": "", "listen.ready": "", "app": "", "service": ""}
	if role == "entry" {
		values["listen.front"], values["listen.ready"] = at(portFront), at(portReady)
	} else {
		values["app"], values["service"] = at(portApp), d.service
	}
	text := d.template
	for name, v := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", v)
	}
	m.settings = filepath.Join(d.dir, m.name+".ini")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	d.machines = append(d.machines, m)
	return m
}

// start starts the machine's process with the command of the deploy file, and again whenever it has ended.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
	return m.startLocked()
}

func (m *machine) startLocked() error {
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/verbenakeel-fleet", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAKEEL_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		m.mu.Lock()
		wanted := m.down
		if !wanted {
			m.ownEnds++
			m.d.rec.note("the process of %s has ended by itself: %s", m.name, cmd.ProcessState)
		}
		m.mu.Unlock()
		close(ended)
		time.Sleep(restartDelay)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.down && m.cmd == cmd {
			_ = m.startLocked()
		}
	}()
	return nil
}

// end sends a signal that ends the process, and waits until it has.
func (m *machine) end(sig syscall.Signal) {
	m.mu.Lock()
	m.down = true
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	<-ended
}

// close ends all processes.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.end(syscall.SIGKILL)
		if m.worker != nil {
			m.worker.close()
		}
	}
}

// route is the configuration of a queue.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Kind       string  `json:"kind"`
	TimeoutMs  int     `json:"timeout_ms"`
	TargetMs   int     `json:"target_latency_ms"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"attempts"`
	Stretch    float64 `json:"stretch"`
}

// configure writes a new version of the configuration.
func (d *deployment) configure(routes ...route) {
	d.version++
	body, _ := json.Marshal(map[string]any{"version": d.version, "routes": routes,
		"services": []map[string]any{{"name": d.service, "enforces_capacity": true}}, "limits": map[string]int{"max_body_bytes": 1 << 20}})
	d.store.put("keyed.op", "config", body)
}

// awaitReady waits until all entries answer that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range d.machines {
			if m.role != "entry" {
				continue
			}
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, portReady))
			if err != nil {
				ready = false
				continue
			}
			_ = resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready within %s", limit)
}

// memory returns the private memory of the machine's process in KiB, and the process.
func (m *machine) memory() (int, *os.Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.down {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0, nil
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb, m.cmd.Process
		}
	}
	return 0, nil
}

// limitMemory kills each process whose memory is over its limit, as the platform does, until stop is closed.
func (d *deployment) limitMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, m := range d.machines {
			if kb, process := m.memory(); kb > m.memoryMB<<10 {
				d.rec.note("the process of %s has %d KiB of private memory, its limit is %d MB; the platform kills it", m.name, kb, m.memoryMB)
				_ = process.Kill()
				time.Sleep(20 * time.Millisecond) // until it has ended
			}
		}
	}
}

// endsByThemselves returns how often the processes of each machine have ended by themselves.
func (d *deployment) endsByThemselves() map[string]int {
	ends := map[string]int{}
	for _, m := range d.machines {
		m.mu.Lock()
		if m.ownEnds > 0 {
			ends[m.name] = m.ownEnds
		}
		m.mu.Unlock()
	}
	return ends
}
