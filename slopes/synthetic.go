package slopes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// Intervals of the simulated side processes; package side uses the same values.
const (
	announceEvery = time.Second
	pollPause     = 50 * time.Millisecond
	pollWait      = 2 * time.Second
)

// simulatedSides sends the messages of many side processes to one entry with the real client, but runs each of them as a
// goroutine.
type simulatedSides struct {
	client  control.Entry
	running sync.WaitGroup
	sent    atomic.Int64
	size    int
}

func newSimulatedSides(d *deploy.Deployment) *simulatedSides {
	rpc := &http.Client{Transport: control.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute})}
	return &simulatedSides{client: control.NewEntryProtobufClient(d.Entries[0].URL("control"), rpc)}
}

func (c *simulatedSides) counter() counter {
	return func() (float64, error) { return float64(c.sent.Load()), nil }
}

// growTo starts simulated side processes until there are n. Their first messages are spread over one second.
func (c *simulatedSides) growTo(ctx context.Context, n int, act func(context.Context, int)) {
	for ; c.size < n; c.size++ {
		i := c.size
		c.running.Go(func() {
			time.Sleep(time.Duration(i%100) * 10 * time.Millisecond)
			act(ctx, i)
		})
	}
}

func processIdentity(i int) *control.Process {
	zone := fmt.Sprintf("midshire-%c", 'a'+i%3)
	return &control.Process{
		Id: fmt.Sprintf("instance-%03d", i), Incarnation: uint64(time.Now().UnixMilli()), Zone: zone,
		Rack: fmt.Sprintf("%s-rack-%d", zone, i/9+1),
	}
}

// announce sends an announcement of an idle endpoint once a second and ignores the interval that the entry requests.
func (c *simulatedSides) announce(ctx context.Context, i int) {
	req := &control.AnnounceRequest{
		Process: processIdentity(i), Service: service, Address: fmt.Sprintf("127.0.0.1:%d", 20_000+i), Slots: 8, Connections: 64,
		SlotsFree: 8, LatencyUs: 5000, EndpointUp: true,
	}
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		req.Sequence++
		if _, err := c.client.Announce(ctx, req); err == nil {
			c.sent.Add(1)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// poll sends the polls of a worker without tasks.
func (c *simulatedSides) poll(ctx context.Context, i int) {
	req := &control.SyncRequest{
		Process: processIdentity(i), Capacity: &control.Resources{CpuMilli: 16_000, MemoryMb: 60_000}, WaitMs: uint32(pollWait.Milliseconds()),
	}
	for ctx.Err() == nil {
		req.Sequence++
		if resp, err := c.client.Sync(ctx, req); err == nil && resp.Epoch > 0 {
			req.Epoch = max(req.Epoch, resp.Epoch)
			req.WaitMs = resp.NextPollMs
			c.sent.Add(1)
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
		}
	}
}

// measureEntryLoad measures one entry against the number of simulated side processes that run act.
func (r *runner) measureEntryLoad(ctx context.Context, prefix, unit string, sizes []int, act func(*simulatedSides) func(context.Context, int)) error {
	return r.withDeployment(ctx, func(o *deploy.Options) {}, func(d *deploy.Deployment) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if err := waitForDecider(ctx, d); err != nil {
			return err
		}
		c := newSimulatedSides(d)
		defer c.running.Wait()
		defer cancel()
		for _, n := range sizes {
			c.growTo(ctx, n, act(c))
			time.Sleep(warmUp)
			used, rates, err := measureWindow(ctx, r.Window, d.Entries[:1], wireBytes(d.Entries[0].Proxies["control"]), c.counter())
			if err != nil {
				return err
			}
			x := float64(n)
			r.add(prefix+".rss", unit, "MB", x, used[0].rss)
			r.add(prefix+".cpu", unit, "% of a core", x, used[0].cpu)
			r.add(prefix+".bytes", unit, "B/s", x, rates[0])
			r.add(prefix+".bytes_per_message", "messages/s", "B/s", rates[1], rates[0])
			r.add(prefix+".cpu_per_message", "messages/s", "% of a core", rates[1], used[0].cpu)
		}
		return nil
	})
}

// measureAnnounce measures an entry against the number of endpoints, each of which sends one announcement a second.
func (r *runner) measureAnnounce(ctx context.Context) error {
	return r.measureEntryLoad(ctx, "entry.announce", "endpoints", []int{0, 80, 160, 240},
		func(c *simulatedSides) func(context.Context, int) { return c.announce })
}

// measurePolls measures the decider against the number of polling workers without tasks.
func (r *runner) measurePolls(ctx context.Context) error {
	return r.measureEntryLoad(ctx, "decider.poll", "workers", []int{0, 80, 160, 240},
		func(c *simulatedSides) func(context.Context, int) { return c.poll })
}
