package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

const addedLatency = "added_latency"

// Load of the scenario: half of the capacity of eight slots at 5 ms per request. The side process has more slots, so that
// waiting for a slot, which the bare hops have no equivalent of, is not counted as added latency.
const (
	addedServiceMs = 5
	addedPerSecond = 800
)

// waitForEndpoints waits until an entry lists every endpoint as up and routes requests to them.
func waitForEndpoints(ctx context.Context, e *deploy.Node) error {
	return deploy.WaitFor(ctx, "endpoints to be up at "+e.Name, func() bool {
		_, body, err := deploy.Call(ctx, http.MethodGet, e.URL("operator")+"/v1/endpoints", nil, nil)
		var list []entry.EndpointView
		if err != nil || json.Unmarshal(body, &list) != nil || len(list) == 0 {
			return false
		}
		for _, ep := range list {
			if ep.State != "up" || !ep.Up {
				return false
			}
		}
		status, _, err := deploy.Call(ctx, http.MethodGet, e.URL("public")+"/fitcheck/ping", nil, nil)
		return err == nil && status == 200
	})
}

// serveHop runs a proxy that forwards every request with hertz and does nothing else.
func serveHop(target string) error {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithMaxConnsPerHost(1024))
	if err != nil {
		return err
	}
	s, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.NoRoute(func(ctx context.Context, c2 *app.RequestContext) {
		c2.Request.SetRequestURI(target + string(c2.Request.URI().RequestURI()))
		c2.Request.Header.SetHost("")
		if err := c.Do(ctx, &c2.Request, &c2.Response); err != nil {
			c2.String(502, err.Error())
		}
	})
	ctx, stop := daemon.Context()
	defer stop()
	daemon.PrintListening("http", s.Address())
	daemon.PrintReady()
	return s.Serve(ctx, time.Second)
}

// startHop starts a bare hop that forwards to target, behind a fault proxy like every listener of a deployment.
func startHop(ctx context.Context, g *launch.Group, name, target string) (*faultproxy.Proxy, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := g.Start(launch.Spec{Name: name, Path: self, Args: []string{"hop", "--target", "http://" + target}})
	if err != nil {
		return nil, err
	}
	address, err := p.Address(ctx, "http")
	if err != nil {
		return nil, err
	}
	return faultproxy.New(address)
}

// measureAddedLatency measures the latency that entry and side process add to an endpoint, compared with two bare hops.
func measureAddedLatency(ctx context.Context, a args) ([]figure, error) {
	dir, err := os.MkdirTemp("", "verbenakeel-bench-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	group := new(launch.Group)
	defer group.Close()
	d, err := deploy.Start(ctx, deploy.Options{
		Dir: dir, Region: "midshire", Zones: []string{"midshire-a"}, Entries: 1, Instances: 1, Service: "fitcheck",
		ServiceTime: addedServiceMs * time.Millisecond, Log: memlog.Options{AppendsPerSecond: 300}, Group: group,
		SideSettings: []deploy.Setting{{Key: "endpoint.slots", Value: "64"}},
	})
	if err != nil {
		d.Close()
		return nil, err
	}
	defer d.Close()
	if err := prepareScenario(ctx, d); err != nil {
		return nil, err
	}
	direct := d.Instances[0].Endpoint.Address("http")
	second, err := startHop(ctx, group, "second hop", d.Instances[0].EndpointProxy.Address())
	if err != nil {
		return nil, err
	}
	defer func() { _ = second.Close() }()
	first, err := startHop(ctx, group, "first hop", second.Address())
	if err != nil {
		return nil, err
	}
	defer func() { _ = first.Close() }()
	own, hops := make(results), make(results)
	for run := range a.Runs {
		values, err := measureTargets(ctx, []string{direct, first.Address(), d.Entries[0].Address("public")}, a.Seed+uint64(run))
		if err != nil {
			return nil, err
		}
		for i, name := range []string{"added_p50", "added_p99"} {
			own[name] = append(own[name], values[d.Entries[0].Address("public")][i]-values[direct][i])
			hops[name] = append(hops[name], values[first.Address()][i]-values[direct][i])
		}
	}
	var list []figure
	for _, name := range []string{"added_p50", "added_p99"} {
		list = append(list, compare(addedLatency, name, "ms", "two_bare_hops", own[name], hops[name], false, a.Seed))
	}
	return list, nil
}

// measureTargets measures all targets concurrently, so that a burst of other work on the machine affects all of them alike. In
// sequential measurements, the latency of the endpoint alone was at times above that behind two hops.
func measureTargets(ctx context.Context, targets []string, seed uint64) (map[string][2]float64, error) {
	var mu sync.Mutex
	var failed error
	values := make(map[string][2]float64)
	var measuring sync.WaitGroup
	for _, target := range targets {
		measuring.Go(func() {
			r, err := measureTarget(ctx, target, seed)
			mu.Lock()
			defer mu.Unlock()
			values[target] = r
			failed = errors.Join(failed, err)
		})
	}
	measuring.Wait()
	return values, failed
}

// measureTarget returns the 50th and 99th percentile of the latency of target in milliseconds.
func measureTarget(ctx context.Context, target string, seed uint64) ([2]float64, error) {
	n := int(addedPerSecond * loadDuration.Seconds())
	r, err := load.Run(ctx, load.Config{
		Targets: []string{target}, Arrivals: load.Arrivals(addedPerSecond, n, true, seed), MaxOutstanding: 2000,
		Timeout: 5 * time.Second, Deadline: deadline,
		Next: func(i int) load.Request {
			return load.Request{
				ID: fmt.Sprintf("%s-%d-%d", target, seed, i), Method: "GET", Path: fmt.Sprintf("/fitcheck/seat?ms=%d", addedServiceMs),
			}
		},
	})
	if err != nil {
		return [2]float64{}, err
	}
	fmt.Fprintf(os.Stderr, "added_latency target=%s outcomes=%v p50=%.2f p99=%.2f\n", target, r.Outcomes,
		float64(r.Answered.ValueAtQuantile(50))/1000, float64(r.Answered.ValueAtQuantile(99))/1000)
	return [2]float64{float64(r.Answered.ValueAtQuantile(50)) / 1000, float64(r.Answered.ValueAtQuantile(99)) / 1000}, nil
}
