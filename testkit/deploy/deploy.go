// Package deploy sets up a whole deployment on loopback for tests, measurements and the demo: the log, entries, and
// instances with an endpoint, a worker and a side process. Other processes reach every listener through a fault proxy.
// Roles run as separate processes or, embedded, in this process; the settings are the same.
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

// Setting is one key of an INI file, written as section.key, and its value.
type Setting struct{ Key, Value string }

// Options describe a deployment.
type Options struct {
	// Dir is the directory for settings files.
	Dir string
	// Region and Zones are the locations of entries and instances, which are assigned to the zones round-robin.
	Region string
	Zones  []string
	// Entries and Instances are the numbers of entries and instances.
	Entries, Instances int
	// Service is the service of every instance's endpoint; if empty, instances have no endpoint.
	Service string
	// ServiceTime is the mean service time of endpoints.
	ServiceTime time.Duration
	// EntrySettings and SideSettings are added to the settings of every entry and side process.
	EntrySettings, SideSettings []Setting
	// WorkerArgs returns additional arguments of `standin worker` for instance i; it may be nil.
	WorkerArgs func(i int) []string
	// Log configures the log.
	Log memlog.Options
	// Mem is the log of an embedded deployment; if nil, the deployment starts with an empty log.
	Mem *memlog.Log
	// ConfigLog is the base URL of another deployment's log that holds the configuration; if empty, this deployment's
	// log holds it.
	ConfigLog string
	// ZoneDelay is the added one-way delay between processes, ClientDelay that between callers and entries.
	ZoneDelay, ClientDelay time.Duration
	// Group starts the roles as separate processes; if nil, all roles run embedded.
	Group *launch.Group
	// BinDir is the directory of the binaries; if empty they are built.
	BinDir string
	// Output receives the log lines of all processes.
	Output io.Writer
}

// Node is one running role.
type Node struct {
	// Name is the id of the role.
	Name string
	// Proxies are the fault proxies in front of the node's listeners, by listener.
	Proxies map[string]*faultproxy.Proxy
	// Zone is the node's availability zone.
	Zone string

	d      *Deployment
	start  func(n *Node) (roleHandle, error)
	handle roleHandle
}

// roleHandle controls a started role.
type roleHandle interface {
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
	// LogNode is the node of the platform's log; Mem is the log itself if it is embedded.
	LogNode *Node
	Mem     *memlog.Log
	// Entries are the entries, by index.
	Entries []*Node
	// Instances are the instances, by index.
	Instances []*Instance
	// LogProxies are the proxies between each entry and the log, by entry index.
	LogProxies []*faultproxy.Proxy
	// ConfigLogProxies are the proxies between each entry and Options.ConfigLog, by entry index; empty without it.
	ConfigLogProxies []*faultproxy.Proxy
}

// Instance is an instance with the roles that run on it.
type Instance struct {
	// Side, Worker and Endpoint are the roles; Endpoint is nil without a service.
	Side, Worker, Endpoint *Node
	// WorkerProxy is the proxy between side process and worker, EndpointProxy that between side process and endpoint.
	WorkerProxy, EndpointProxy *faultproxy.Proxy
}

// startTimeout bounds the start or stop of one role; it allows for a loaded machine.
const startTimeout = time.Minute

// Start starts a deployment and waits until every entry is healthy. The caller must Close the deployment even after an
// error.
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

// newNode creates the proxies of a node, with the delay of each listener, and starts the node.
func (d *Deployment) newNode(ctx context.Context, name, zone string, listeners map[string]time.Duration, start func(*Node) (roleHandle, error)) (*Node, error) {
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

// unboundTarget is the target of a proxy until its role has started; nothing listens there.
const unboundTarget = "127.0.0.1:1"

func newProxy(delay time.Duration) (*faultproxy.Proxy, error) {
	p, err := faultproxy.New(unboundTarget)
	if err != nil {
		return nil, err
	}
	p.SetDelay(faultproxy.Both, delay)
	return p, nil
}

// Start starts the role, or restarts it after it stopped.
func (n *Node) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := n.start(n)
	if err != nil {
		return fmt.Errorf("start %s: %w", n.Name, err)
	}
	n.handle = r
	for l, p := range n.Proxies {
		address, err := r.address(ctx, l)
		if err != nil {
			return fmt.Errorf("start %s: %w", n.Name, err)
		}
		p.SetTarget(address)
	}
	return nil
}

// Address returns the address of the proxy in front of a listener.
func (n *Node) Address(listener string) string { return n.Proxies[listener].Address() }

// URL returns the base URL of the proxy in front of a listener.
func (n *Node) URL(listener string) string { return "http://" + n.Address(listener) }

// Process returns the node's process, or nil for an embedded role.
func (n *Node) Process() *launch.Process { return n.handle.process() }

// Stop shuts the node down gracefully.
func (n *Node) Stop() error { return n.handle.stop() }

// writeSettings writes an INI file and returns its path.
func (d *Deployment) writeSettings(name string, keys []Setting) (string, error) {
	var b strings.Builder
	section := ""
	for _, s := range groupBySection(keys) {
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

// groupBySection groups settings by section; the last value of a key overrides earlier ones.
func groupBySection(keys []Setting) []Setting {
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

// WaitHealthy waits until an entry passes its health check, for at most startTimeout.
func (d *Deployment) WaitHealthy(ctx context.Context, e *Node) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, "health of "+e.Name, func() bool {
		status, _, err := get(ctx, e.URL("public")+"/-/health")
		return err == nil && status == 200
	})
}

// Close stops all embedded roles and closes all proxies. Separate processes are stopped by closing their group.
func (d *Deployment) Close() {
	var stopped sync.WaitGroup
	for _, n := range d.nodes() {
		if n.handle != nil && n.handle.process() == nil {
			stopped.Go(func() { _ = n.handle.stop() })
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
	for _, inst := range d.Instances {
		for _, p := range []*faultproxy.Proxy{inst.WorkerProxy, inst.EndpointProxy} {
			if p != nil {
				_ = p.Close()
			}
		}
	}
}

// nodes returns all nodes, each before the nodes that it depends on.
func (d *Deployment) nodes() []*Node {
	var list []*Node
	for _, inst := range d.Instances {
		for _, n := range []*Node{inst.Side, inst.Worker, inst.Endpoint} {
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
