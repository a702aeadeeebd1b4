package deploy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// module is the import path prefix of the commands.
const module = "github.com/verbenakeel/verbenakeel/cmd/"

func (d *Deployment) startLog(ctx context.Context) error {
	if d.Mem = d.opts.Mem; d.Mem == nil {
		d.Mem = memlog.New(d.opts.Log)
	}
	n, err := d.newNode(ctx, "log", "", map[string]time.Duration{"http": 0}, func(n *Node) (roleHandle, error) {
		if d.opts.Group == nil {
			return embedLog(d.Mem)
		}
		return d.spawn("standin", n.Name, "--listen", "127.0.0.1:0", "log",
			"--appends-per-second", fmt.Sprint(d.opts.Log.AppendsPerSecond), "--keep-records", fmt.Sprint(d.opts.Log.KeepRecords),
			"--keep-for", d.opts.Log.KeepFor.String())
	})
	d.LogNode = n
	return err
}

func (d *Deployment) addEntry(ctx context.Context, i int) error {
	logProxy, err := newProxy(d.opts.ZoneDelay)
	if err != nil {
		return err
	}
	logProxy.SetTarget(d.LogNode.Address("http"))
	d.LogProxies = append(d.LogProxies, logProxy)
	if d.opts.ConfigLog != "" {
		p, err := newProxy(d.opts.ZoneDelay)
		if err != nil {
			return err
		}
		p.SetTarget(strings.TrimPrefix(d.opts.ConfigLog, "http://"))
		d.ConfigLogProxies = append(d.ConfigLogProxies, p)
	}
	name, zone := fmt.Sprintf("entry-%d", i+1), d.zone(i)
	listeners := map[string]time.Duration{"public": d.opts.ClientDelay, "operator": 0, "control": d.opts.ZoneDelay}
	n, err := d.newNode(ctx, name, zone, listeners, func(n *Node) (roleHandle, error) {
		keys := []Setting{
			{"process.id", name}, {"process.region", d.opts.Region}, {"process.zone", zone},
			{"listen.advertise", n.Address("control")}, {"platform.log", "http://" + logProxy.Address()},
		}
		if d.opts.ConfigLog != "" {
			keys = append(keys, Setting{"platform.config_log", "http://" + d.ConfigLogProxies[i].Address()})
		}
		if i > 0 {
			keys = append(keys, Setting{"peers.entries", strings.Join(d.controlAddresses(), ", ")})
		}
		path, err := d.writeSettings(name, append(keys, d.opts.EntrySettings...))
		if err != nil {
			return nil, err
		}
		if d.opts.Group == nil {
			return embedEntry(path, d.opts.Output)
		}
		return d.spawn("verbenakeel-entry", name, "--settings", path)
	})
	d.Entries = append(d.Entries, n)
	return err
}

// controlAddresses returns the control addresses of the entries started so far.
func (d *Deployment) controlAddresses() []string {
	var list []string
	for _, e := range d.Entries {
		list = append(list, e.Address("control"))
	}
	return list
}

func (d *Deployment) addInstance(ctx context.Context, i int) error {
	inst := &Instance{}
	d.Instances = append(d.Instances, inst)
	id, zone := fmt.Sprintf("instance-%02d", i+1), d.zone(i)
	// Three workers of one zone share a rack.
	rack := fmt.Sprintf("%s-rack-%d", zone, i/len(d.opts.Zones)/3+1)
	var err error
	if inst.Worker, err = d.addWorker(ctx, id, zone, i); err != nil {
		return err
	}
	if inst.WorkerProxy, err = newProxy(0); err != nil {
		return err
	}
	inst.WorkerProxy.SetTarget(inst.Worker.Address("http"))
	if d.opts.Service != "" {
		if inst.Endpoint, err = d.addEndpoint(ctx, id, zone, i); err != nil {
			return err
		}
		if inst.EndpointProxy, err = newProxy(0); err != nil {
			return err
		}
		inst.EndpointProxy.SetTarget(inst.Endpoint.Address("http"))
	}
	inst.Side, err = d.addSide(ctx, inst, id, zone, rack)
	return err
}

func (d *Deployment) addWorker(ctx context.Context, id, zone string, i int) (*Node, error) {
	var extra []string
	if d.opts.WorkerArgs != nil {
		extra = d.opts.WorkerArgs(i)
	}
	return d.newNode(ctx, "worker-"+id, zone, map[string]time.Duration{"http": 0}, func(n *Node) (roleHandle, error) {
		if d.opts.Group == nil {
			return embedWorker(id, extra)
		}
		return d.spawn("standin", n.Name, append([]string{"--listen", "127.0.0.1:0", "worker", "--id", id}, extra...)...)
	})
}

func (d *Deployment) addEndpoint(ctx context.Context, id, zone string, i int) (*Node, error) {
	return d.newNode(ctx, "endpoint-"+id, zone, map[string]time.Duration{"http": 0}, func(n *Node) (roleHandle, error) {
		if d.opts.Group == nil {
			return embedEndpoint(id, d.opts.ServiceTime, uint64(i+1))
		}
		return d.spawn("standin", n.Name, "--listen", "127.0.0.1:0", "endpoint", "--id", id,
			"--service-time", d.opts.ServiceTime.String(), "--seed", fmt.Sprint(i+1))
	})
}

func (d *Deployment) addSide(ctx context.Context, inst *Instance, id, zone, rack string) (*Node, error) {
	return d.newNode(ctx, id, zone, map[string]time.Duration{"data": d.opts.ZoneDelay}, func(n *Node) (roleHandle, error) {
		keys := []Setting{
			{"process.id", id}, {"process.region", d.opts.Region}, {"process.zone", zone}, {"process.rack", rack},
			{"listen.advertise", n.Address("data")}, {"entries.control", strings.Join(d.controlAddresses(), ", ")},
			{"worker.url", "http://" + inst.WorkerProxy.Address()},
		}
		if inst.Endpoint != nil {
			keys = append(keys, Setting{"endpoint.service", d.opts.Service}, Setting{"endpoint.url", "http://" + inst.EndpointProxy.Address()})
		}
		path, err := d.writeSettings(id, append(keys, d.opts.SideSettings...))
		if err != nil {
			return nil, err
		}
		if d.opts.Group == nil {
			return embedSide(path, d.opts.Output)
		}
		return d.spawn("verbenakeel-side", id, "--settings", path)
	})
}

// spawnedRole is a role that runs as a separate process.
type spawnedRole struct{ p *launch.Process }

func (s spawnedRole) address(ctx context.Context, listener string) (string, error) {
	return s.p.Address(ctx, listener)
}

func (s spawnedRole) stop() error {
	if err := s.p.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := s.p.Wait(ctx)
	return err
}

func (s spawnedRole) process() *launch.Process { return s.p }

func (d *Deployment) spawn(binary, name string, args ...string) (roleHandle, error) {
	path := filepath.Join(d.opts.BinDir, binary)
	if d.opts.BinDir == "" {
		var err error
		if path, err = launch.Build(module + binary); err != nil {
			return nil, err
		}
	}
	p, err := d.opts.Group.Start(launch.Spec{Name: name, Path: path, Args: args, Log: d.opts.Output})
	if err != nil {
		return nil, err
	}
	return spawnedRole{p}, nil
}

// SetLogFaults sets the faults that the log injects.
func (d *Deployment) SetLogFaults(ctx context.Context, f memlog.Faults) error {
	if d.opts.Group == nil {
		d.Mem.SetFaults(f)
		return nil
	}
	body := fmt.Sprintf(`{"down":%t,"delay_ms":%d,"lose_replies":%d}`, f.Down, f.DelayMs, f.LoseReplies)
	status, reply, err := Call(ctx, http.MethodPut, d.LogNode.URL("http")+"/faults", nil, []byte(body))
	if err == nil && status != 200 {
		err = fmt.Errorf("set faults of the log: status %d: %s", status, reply)
	}
	return err
}

// Call sends one HTTP request and returns the status and the body of its answer.
func Call(ctx context.Context, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func get(ctx context.Context, url string) (int, []byte, error) {
	return Call(ctx, http.MethodGet, url, nil, nil)
}

// poll waits until the condition holds or ctx ends.
func poll(ctx context.Context, what string, cond func() bool) error {
	for {
		if cond() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
	}
}

// WaitFor waits until the condition holds, for at most startTimeout.
func WaitFor(ctx context.Context, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, what, cond)
}
