// Package soak plays the real programs as separate processes on one machine and disturbs them from outside: connections
// through a proxy, signals to processes, workers and a store that misbehave. It checks what callers and workers see.
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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

const (
	// workerCPU is the size of a worker in thousandths of a core.
	workerCPU = 4000
	// beatEvery is the time between two heartbeats of a worker.
	beatEvery = 500 * time.Millisecond
	// callTimeout bounds a caller's request.
	callTimeout = 3 * time.Second
	host        = "soak.example"
	service     = "app"
)

// site is a deployment of real processes between stand-ins.
type site struct {
	t       *testing.T
	rng     *rand.Rand
	dir     string
	binary  string
	group   *launch.Group
	store   *platformtest.Store
	target  string // the store's address
	check   *checker
	entries []*node
	sides   []*node

	mu    sync.Mutex
	fault platformtest.Fault
}

// node is an instance with one process of the system.
type node struct {
	site *site
	name string
	role string
	// store and peer are the proxies before the store and before the process's listener for others.
	store, peer *faultproxy.Proxy
	// worker is the proxy before the worker; nil at entries.
	worker *faultproxy.Proxy
	// public, control, listen are addresses of the process.
	public, ready, control, listen string

	mu      sync.Mutex
	process *launch.Process
	app     *app
}

// app is one life of a worker.
type app struct {
	*platformtest.Worker
	server *httptest.Server
	stop   context.CancelFunc
	born   int64
}

const (
	// portsFrom and portsTo bound the ports of processes. They lie below the ports of outgoing connections, which could
	// take the port of a process while it is restarted.
	portsFrom = 15_000
	portsTo   = 31_000
)

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", portsFrom+rand.IntN(portsTo-portsFrom))
		if ln, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, ln.Close())
			return address
		}
	}
}

func newSite(t *testing.T, seed uint64, entries, sides int) *site {
	t.Helper()
	binary, err := launch.Build("github.com/verbenakeel/verbenakeel/cmd/verbenakeel-fleet")
	assert.NilError(t, err)
	s := &site{t: t, rng: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), binary: binary, group: launch.ForTest(t), store: platformtest.NewStore()}
	s.check = newChecker()
	s.store.Fault = func(string) platformtest.Fault {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault
	}
	server := httptest.NewServer(s.store)
	s.target = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		s.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	s.publish(1)
	for i := range entries {
		s.entries = append(s.entries, s.newNode("entry", i))
	}
	for i := range sides {
		s.sides = append(s.sides, s.newNode("side", i))
	}
	for _, n := range append(append([]*node{}, s.entries...), s.sides...) {
		n.start()
		if n.role == "side" {
			n.boot()
		}
	}
	return s
}

// publish writes a version of the configuration. Odd versions have a second queue.
func (s *site) publish(version int) {
	routes := fmt.Sprintf(`{"name":"q","host":%q,"path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":%q,"attempts":3,"stretch":2}`, host, service)
	if version%2 == 1 {
		routes += fmt.Sprintf(`,{"name":"odd","host":%q,"path_prefix":"/odd/","timeout_ms":3000,"target_latency_ms":500,"priority":0,"service":%q,"attempts":3,"stretch":2}`, host, service)
	}
	s.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q}]}`, version, routes, service)))
}

func (s *site) newNode(role string, i int) *node {
	n := &node{site: s, name: fmt.Sprintf("%s-%d", role, i), role: role, public: freeAddress(s.t), ready: freeAddress(s.t),
		control: freeAddress(s.t), listen: freeAddress(s.t)}
	proxy := func(target string) *faultproxy.Proxy {
		p, err := faultproxy.New(target)
		assert.NilError(s.t, err)
		s.t.Cleanup(func() { _ = p.Close() })
		return p
	}
	n.store, n.peer = proxy(s.target), proxy(n.listen)
	if role == "side" {
		n.worker = proxy(s.target) // set by boot
	}
	s.t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.app != nil {
			n.app.end()
		}
	})
	return n
}

// start starts the process.
func (n *node) start() {
	path := filepath.Join(n.site.dir, n.name+".ini")
	text := fmt.Sprintf("[process]\ninstance = %s\nzone = z\n[limits]\ncores = 0.5\n[listen]\npeer = %s\nadvertise = %s\n[services]\nstore = %s\n",
		n.name, n.listen, n.peer.Address(), n.store.Address())
	if n.role == "entry" {
		text += fmt.Sprintf("[listen]\npublic = %s\nready = %s\n", n.public, n.ready)
	} else {
		text += fmt.Sprintf("[listen]\ncontrol = %s\n[worker]\naddress = %s\nservice = %s\n", n.control, n.worker.Address(), service)
	}
	assert.NilError(n.site.t, os.WriteFile(path, []byte(text), 0o600))
	p, err := n.site.group.Start(launch.Spec{Name: n.name, Path: n.site.binary, Args: []string{n.role, "--settings", path}})
	assert.NilError(n.site.t, err)
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
}

// boot starts a new life of the node's worker. The life before ends first.
func (n *node) boot() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.app != nil {
		n.app.end()
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &app{Worker: platformtest.NewWorker(), stop: stop, born: time.Now().UnixMilli()}
	a.OnStart = func(task string, run int) { n.site.check.started(n.name, task, run); a.work(ctx, n.site, task, run) }
	a.OnEnd = n.site.check.ended
	a.OnForget = n.site.check.forgotten
	a.server = httptest.NewServer(a.Worker)
	n.worker.SetTarget(strings.TrimPrefix(a.server.URL, "http://"))
	n.worker.CloseConnections()
	n.app = a
	go a.beat(ctx, n)
}

func (a *app) end() {
	a.stop()
	a.Close()
	a.server.CloseClientConnections()
	a.server.Close()
}

// work ends a run after the time that its name draws: a task fails or takes as long in every run of a seed.
func (a *app) work(ctx context.Context, s *site, task string, run int) {
	took, how := s.check.plan(task, run)
	go func() {
		timer := time.NewTimer(took)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			a.End(task, run, how)
		}
	}()
}

// beat sends heartbeats and lets leases lapse.
func (a *app) beat(ctx context.Context, n *node) {
	client := &http.Client{Timeout: beatEvery}
	for seq := int64(1); ctx.Err() == nil; seq++ {
		a.Lapse()
		path, body := platformtest.Heartbeat("i-"+n.name, service, n.worker.Address(), "z", a.born, seq, workerCPU, false)
		resp, err := client.Post("http://"+n.control+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// restart ends the process and starts it again.
func (n *node) restart(end func(*launch.Process) error, pause time.Duration) {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if err := end(p); err != nil {
		n.site.t.Logf("end %s: %v", n.name, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if _, err := p.Wait(ctx); err != nil {
		n.site.t.Logf("wait for %s: %v", n.name, err)
		_ = p.Kill()
	}
	time.Sleep(pause)
	n.start()
}
