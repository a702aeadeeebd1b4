// Package deploy sets up a whole deployment on loopback for tests, measurements and the demo: the log, entries, and
// instances with an endpoint, a worker and a side process. A fault proxy stands before every listener that another
// process uses. Roles run as separate processes or, embedded, in this program; the settings are the same.
package deploy

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// Setting sets one key of an INI file, as section.key.
type Setting struct{ Key, Value string }

// Options describe a deployment.
type Options struct {
	// Dir receives settings files.
	Dir string
	// Region and Zones name where instances are; entries and instances are spread over the zones in turn.
	Region string
	Zones  []string
	// Entries and Instances are counts.
	Entries, Instances int
	// Service is served by the endpoint of every instance; without it instances have workers only.
	Service string
	// ServiceTime is the mean service time of endpoints.
	ServiceTime time.Duration
	// EntrySettings and SideSettings are added to the settings of every entry and side process.
	EntrySettings, SideSettings []Setting
	// WorkerArgs returns further arguments of `standin worker` for instance i; it may be nil.
	WorkerArgs func(i int) []string
	// Log configures the log.
	Log memlog.Options
	// Mem is the log of an embedded deployment; nil for an empty one.
	Mem *memlog.Log
	// ConfigLog is the base URL of another deployment's log, which holds the configuration; empty for the own log.
	ConfigLog string
	// ZoneDelay is added each way between processes, ClientDelay each way between callers and entries.
	ZoneDelay, ClientDelay time.Duration
	// Group starts separate processes; nil runs all roles embedded.
	Group *launch.Group
	// BinDir holds the binaries; if empty they are built.
	BinDir string
	// Output receives the log lines of all processes.
	Output io.Writer
}

// Node is one running role.
type Node struct {
	// Name is the id of the role.
	Name string
	// Proxies are the fault proxies before the node's listeners, by listener.
	Proxies map[string]*faultproxy.Proxy
	// Zone is the node's availability zone.
	Zone string

	d     *Deployment
	start func(n *Node) (runner, error)
	run   runner
}

// runner is a started role.
type runner interface {
	// address returns the bound address of a listener.
	address(ctx context.Context, listener string) (string, error)
	// stop shuts the role down gracefully.
	stop() error
	// process returns the process, or nil for an embedded role.
	process() *launch.Process
}

// Deployment is a running deployment.
type Deployment struct {
	opts Options
	// LogNode is the platform's log; Mem is the log itself when it is embedded.
	LogNode *Node
	Mem     *memlog.Log
	// Entries are the entries, by index.
	Entries []*Node
	// Instances are the instances, by index.
	Instances []*Instance
	// LogProxies stand between each entry and the log, by entry index.
	LogProxies []*faultproxy.Proxy
	// ConfigLogProxies stand between each entry and the log with the configuration, by entry index; none without one.
	ConfigLogProxies []*faultproxy.Proxy
}

// Instance is an instance with its roles.
type Instance struct {
	// Side, Worker and Endpoint are the roles; Endpoint is nil without a service.
	Side, Worker, Endpoint *Node
	// WorkerProxy stands between side process and worker, EndpointProxy between side process and endpoint.
	WorkerProxy, EndpointProxy *faultproxy.Proxy
}

// startTimeout bounds the start of one role, also on a loaded machine.
const startTimeout = time.Minute

// Start starts a deployment and waits until every entry is healthy. Close it even after an error.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	d := &Deployment{opts: opts}
	if err := d.startLog(ctx); err != nil {
		return d, err
	}
	for i := range opts.Entries {
		if err := d.addEntry(ctx, i); err != nil {
			return d, err
		}
	}
	for i := range opts.Instances {
		if err := d.addInstance(ctx, i); err != nil {
			return d, err
		}
	}
	for _, e := range d.Entries {
		if err := d.WaitHealthy(ctx, e); err != nil {
			return d, err
		}
	}
	return d, nil
}

// zone returns the zone of the i-th node.
func (d *Deployment) zone(i int) string { return d.opts.Zones[i%len(d.opts.Zones)] }

// newNode makes the proxies of a node and starts it.
func (d *Deployment) newNode(ctx context.Context, name, zone string, listeners map[string]time.Duration, start func(*Node) (runner, error)) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Proxies: make(map[string]*faultproxy.Proxy), d: d, start: start}
	for l, delay := range listeners {
		p, err := newProxy(delay)
		if err != nil {
			return n, err
		}
		n.Proxies[l] = p
	}
	return n, n.Start(ctx)
}

// unset is the target of a proxy before its role has started; nothing listens there.
const unset = "127.0.0.1:1"

func newProxy(delay time.Duration) (*faultproxy.Proxy, error) {
	p, err := faultproxy.New(unset)
	if err != nil {
		return nil, err
	}
	p.SetDelay(faultproxy.Both, delay)
	return p, nil
}

// Start starts the role, or starts it again after it ended.
func (n *Node) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := n.start(n)
	if err != nil {
		return fmt.Errorf("start %s: %w", n.Name, err)
	}
	n.run = r
	for l, p := range n.Proxies {
		address, err := r.address(ctx, l)
		if err != nil {
			return fmt.Errorf("start %s: %w", n.Name, err)
		}
		p.SetTarget(address)
	}
	return nil
}

// Address returns the address of the proxy before a listener.
func (n *Node) Address(listener string) string { return n.Proxies[listener].Address() }

// URL returns the base URL of the proxy before a listener.
func (n *Node) URL(listener string) string { return "http://" + n.Address(listener) }

// Process returns the node's process; nil when it is embedded.
func (n *Node) Process() *launch.Process { return n.run.process() }

// Stop shuts the node down gracefully.
func (n *Node) Stop() error { return n.run.stop() }

// writeSettings writes an INI file and returns its path.
func (d *Deployment) writeSettings(name string, keys []Setting) (string, error) {
	var b strings.Builder
	section := ""
	for _, s := range ordered(keys) {
		sec, key, _ := strings.Cut(s.Key, ".")
		if sec != section {
			section = sec
			fmt.Fprintf(&b, "[%s]\n", sec)
		}
		fmt.Fprintf(&b, "%s = %s\n", key, s.Value)
	}
	path := filepath.Join(d.opts.Dir, name+".ini")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// ordered groups settings by section; the last value of a key counts.
func ordered(keys []Setting) []Setting {
	values := make(map[string]string)
	var sections, names []string
	seen := make(map[string]bool)
	for _, s := range keys {
		sec, _, _ := strings.Cut(s.Key, ".")
		if !seen[sec] {
			seen[sec] = true
			sections = append(sections, sec)
		}
		if _, ok := values[s.Key]; !ok {
			names = append(names, s.Key)
		}
		values[s.Key] = s.Value
	}
	var out []Setting
	for _, sec := range sections {
		for _, name := range names {
			if strings.HasPrefix(name, sec+".") {
				out = append(out, Setting{name, values[name]})
			}
		}
	}
	return out
}

// WaitHealthy waits until an entry answers its health check.
func (d *Deployment) WaitHealthy(ctx context.Context, e *Node) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, "health of "+e.Name, func() bool {
		status, _, err := get(ctx, e.URL("public")+"/-/health")
		return err == nil && status == 200
	})
}

// Close stops everything that this program runs and closes all proxies. Separate processes end with their group.
func (d *Deployment) Close() {
	var stopped sync.WaitGroup
	for _, n := range d.nodes() {
		if n.run != nil && n.run.process() == nil {
			stopped.Go(func() { _ = n.run.stop() })
		}
	}
	stopped.Wait()
	for _, n := range d.nodes() {
		for _, p := range n.Proxies {
			_ = p.Close()
		}
	}
	for _, p := range append(d.ConfigLogProxies, d.LogProxies...) {
		_ = p.Close()
	}
	for _, in := range d.Instances {
		for _, p := range []*faultproxy.Proxy{in.WorkerProxy, in.EndpointProxy} {
			if p != nil {
				_ = p.Close()
			}
		}
	}
}

// nodes returns all nodes, those that depend on others first.
func (d *Deployment) nodes() []*Node {
	var list []*Node
	for _, in := range d.Instances {
		for _, n := range []*Node{in.Side, in.Worker, in.Endpoint} {
			if n != nil {
				list = append(list, n)
			}
		}
	}
	list = append(list, d.Entries...)
	if d.LogNode != nil {
		list = append(list, d.LogNode)
	}
	return list
}
