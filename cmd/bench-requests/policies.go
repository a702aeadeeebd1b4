package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

// Size of the deployment. The capacity is endpoints x slots / service time = 800 requests per second, low enough that the
// CPUs of a shared machine are not the bottleneck.
const (
	endpointCount = 10
	entryCount    = 3
	slotCount     = 8
	serviceTime   = 100 * time.Millisecond
	// deadline is the latency up to which a response counts as good: ten service times.
	deadline = time.Second
	// loadDuration is the duration of the load of one scenario.
	loadDuration = 3 * time.Second
)

const capacity = float64(endpointCount) * slotCount / 0.1

const contract = `{"contract":{"customer":"hartwell","priority":"critical","requests_per_second":100000,"request_burst":100000,
"concurrency":100000,"services":[{"name":"fitcheck","deadline_ms":1000,"public":true}]}}`

// policy is a routing policy with the settings that select it.
type policy struct {
	name  string
	entry []deploy.Setting
	side  []deploy.Setting
}

// policies are the system's routing and two baselines: random choice without a queue at the side process, and round robin.
var policies = []policy{
	{name: "least_loaded"},
	{"random", []deploy.Setting{{Key: "routing.policy", Value: "random"}}, []deploy.Setting{{Key: "endpoint.queue", Value: "0"}}},
	{"round_robin", []deploy.Setting{{Key: "routing.policy", Value: "round_robin"}}, nil},
}

// scenario is a load with an optional fault.
type scenario struct {
	name string
	// load is the request rate as a fraction of capacity.
	load float64
	// injectFault is called under load and injects the fault; removeFault removes it.
	injectFault, removeFault func(ctx context.Context, d *deploy.Deployment) error
}

func scenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

var scenarios = []scenario{
	{name: "load_50", load: 0.5},
	{name: "load_80", load: 0.8},
	{name: "load_120", load: 1.2},
	{name: "load_200", load: 2},
	{name: "slow_endpoint", load: 0.5, injectFault: slowDown("10"), removeFault: slowDown("1")},
	{name: "silent_connections", load: 0.5, injectFault: silenceConnections},
	{name: "zone_out", load: 0.5, injectFault: cutZone, removeFault: restoreZone},
	{name: "entry_killed", load: 0.5, injectFault: killEntry, removeFault: startEntry},
	{name: "rolling_shutdown", load: 0.5, injectFault: restartSides},
}

func slowDown(factor string) func(context.Context, *deploy.Deployment) error {
	return func(ctx context.Context, d *deploy.Deployment) error {
		_, _, err := deploy.Call(ctx, http.MethodPut, d.Instances[0].Endpoint.URL("http")+"/-/slow", nil, []byte(factor))
		return err
	}
}

// silenceConnections makes the proxy pass neither data nor closes on the connections now open to one side process.
func silenceConnections(_ context.Context, d *deploy.Deployment) error {
	d.Instances[0].Side.Proxies["data"].StallOpen(faultproxy.Both)
	return nil
}

// forZoneProxies calls f for the data proxy of every side process in the second zone.
func forZoneProxies(d *deploy.Deployment, f func(*faultproxy.Proxy)) {
	for _, in := range d.Instances {
		if in.Side.Zone == d.Instances[1].Side.Zone {
			f(in.Side.Proxies["data"])
		}
	}
}

func cutZone(_ context.Context, d *deploy.Deployment) error {
	forZoneProxies(d, (*faultproxy.Proxy).Cut)
	return nil
}

func restoreZone(_ context.Context, d *deploy.Deployment) error {
	forZoneProxies(d, (*faultproxy.Proxy).Restore)
	return nil
}

func killEntry(_ context.Context, d *deploy.Deployment) error { return d.Entries[2].Process().Kill() }

func startEntry(ctx context.Context, d *deploy.Deployment) error {
	if err := d.Entries[2].Start(ctx); err != nil {
		return err
	}
	return d.WaitHealthy(ctx, d.Entries[2])
}

// restartSides restarts every side process by graceful shutdown, one at a time.
func restartSides(ctx context.Context, d *deploy.Deployment) error {
	for _, in := range d.Instances {
		if err := in.Side.Stop(); err != nil {
			return err
		}
		if err := in.Side.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// results maps measures to their values in one scenario under one policy.
type results map[string]series

// measures lists the measures with their units; higher means that higher values are better.
var measures = []struct {
	name, unit string
	higher     bool
}{
	{"latency_p50", "ms", false}, {"latency_p99", "ms", false}, {"latency_p99_9", "ms", false}, {"goodput", "1/s", true},
	{"answered", "share", true},
}

func measurePolicies(ctx context.Context, a args) ([]figure, error) {
	all := make(map[string]map[string]results)
	for run := range a.Runs {
		for _, p := range policies {
			if all[p.name] == nil {
				all[p.name] = make(map[string]results)
			}
			if err := runPolicy(ctx, a, run, p, all[p.name]); err != nil {
				return nil, fmt.Errorf("policy %s, run %d: %w", p.name, run, err)
			}
		}
	}
	var list []figure
	own := all[policies[0].name]
	for _, s := range scenarios {
		if own[s.name] == nil {
			continue
		}
		for _, p := range policies[1:] {
			for _, m := range measures {
				list = append(list, compare(s.name, m.name, m.unit, p.name, own[s.name][m.name], all[p.name][s.name][m.name], m.higher, a.Seed))
			}
		}
	}
	if own["load_200"] != nil && own["load_120"] != nil {
		list = append(list, compare("load_200", "goodput_at_overload", "1/s", "peak", own["load_200"]["goodput"], peakGoodput(own), true, a.Seed))
	}
	return list, nil
}

// peakGoodput returns the highest goodput of each run.
func peakGoodput(own map[string]results) series {
	var out series
	for i := range own["load_120"]["goodput"] {
		out = append(out, max(own["load_80"]["goodput"][i], own["load_120"]["goodput"][i], own["load_200"]["goodput"][i]))
	}
	return out
}

func runPolicy(ctx context.Context, a args, run int, p policy, into map[string]results) error {
	dir, err := os.MkdirTemp("", "verbenakeel-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	group := new(launch.Group)
	defer group.Close()
	d, err := deploy.Start(ctx, deploy.Options{
		Dir: dir, Region: "midshire", Zones: []string{"midshire-a", "midshire-b", "midshire-c"}, Entries: entryCount,
		Instances: endpointCount, Service: "fitcheck", ServiceTime: serviceTime, Log: memlog.Options{AppendsPerSecond: 300},
		Group: group, EntrySettings: p.entry, SideSettings: p.side,
	})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	if err := prepareScenario(ctx, d); err != nil {
		return err
	}
	for _, s := range scenarios {
		if a.Scenario != "" && a.Scenario != s.name {
			continue
		}
		if into[s.name] == nil {
			into[s.name] = make(results)
		}
		if err := runScenario(ctx, d, s, a.Seed+uint64(run), into[s.name]); err != nil {
			return fmt.Errorf("scenario %s: %w", s.name, err)
		}
		if err := prepareScenario(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// prepareScenario publishes the contract, waits until every entry routes to every endpoint, and restores the data proxies.
func prepareScenario(ctx context.Context, d *deploy.Deployment) error {
	_, _, err := deploy.Call(ctx, http.MethodPost, d.Entries[0].URL("operator")+"/v1/config", nil, []byte(contract))
	if err != nil {
		return err
	}
	for _, e := range d.Entries {
		if err := waitForEndpoints(ctx, e); err != nil {
			return err
		}
		for _, in := range d.Instances {
			in.Side.Proxies["data"].Restore()
		}
	}
	// Wait until ejections and latency averages of the previous scenario have decayed.
	time.Sleep(time.Second)
	return nil
}

func runScenario(ctx context.Context, d *deploy.Deployment, s scenario, seed uint64, into results) error {
	perSecond := capacity * s.load
	n := int(perSecond * loadDuration.Seconds())
	var targets []string
	for _, e := range d.Entries {
		targets = append(targets, e.Address("public"))
	}
	failed := make(chan error, 1)
	go func() {
		var err error
		time.Sleep(loadDuration / 6)
		if s.injectFault != nil {
			err = s.injectFault(ctx, d)
		}
		failed <- err
	}()
	r, err := load.Run(ctx, load.Config{
		Targets: targets, Arrivals: load.Arrivals(perSecond, n, true, seed), MaxOutstanding: 8000, Timeout: 5 * time.Second,
		Deadline: deadline, HealthPath: "/-/health", HealthInterval: 200 * time.Millisecond,
		Next: func(i int) load.Request {
			return load.Request{ID: fmt.Sprintf("%s-%d-%d", s.name, seed, i), Method: "GET", Path: "/fitcheck/seat"}
		},
	})
	if err != nil {
		return err
	}
	if err := <-failed; err != nil {
		return err
	}
	if s.removeFault != nil {
		if err := s.removeFault(ctx, d); err != nil {
			return err
		}
	}
	ms := func(q float64) float64 { return float64(r.Answered.ValueAtQuantile(q)) / 1000 }
	add := func(name string, v float64) { into[name] = append(into[name], v) }
	add("latency_p50", ms(50))
	add("latency_p99", ms(99))
	add("latency_p99_9", ms(99.9))
	add("goodput", float64(r.Good)/loadDuration.Seconds())
	add("answered", float64(r.Outcomes[history.Answered])/float64(n))
	fmt.Fprintf(os.Stderr, "%s seed=%d late_p99_ms=%.1f outcomes=%v p50=%.1f p99=%.1f\n", s.name, seed,
		float64(r.Late.ValueAtQuantile(99))/1000, r.Outcomes, ms(50), ms(99))
	return nil
}
