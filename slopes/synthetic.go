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

// Times of side processes in the stand-ins, as in package side.
const (
	announceEvery = time.Second
	pollPause     = 50 * time.Millisecond
	pollWait      = 2 * time.Second
)

// crowd is many side processes as one entry sees them: the same client and messages, without processes of their own.
type crowd struct {
	client  control.Entry
	running sync.WaitGroup
	sent    atomic.Int64
	size    int
}

func newCrowd(d *deploy.Deployment) *crowd {
	rpc := &http.Client{Transport: control.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute})}
	return &crowd{client: control.NewEntryProtobufClient(d.Entries[0].URL("control"), rpc)}
}

func (c *crowd) counter() counter {
	return func() (float64, error) { return float64(c.sent.Load()), nil }
}

// grow starts further side processes until there are n, spread over one second.
func (c *crowd) grow(ctx context.Context, n int, act func(context.Context, int)) {
	for ; c.size < n; c.size++ {
		i := c.size
		c.running.Go(func() {
			time.Sleep(time.Duration(i%100) * 10 * time.Millisecond)
			act(ctx, i)
		})
	}
}

func identity(i int) *control.Process {
	zone := fmt.Sprintf("midshire-%c", 'a'+i%3)
	return &control.Process{
		Id: fmt.Sprintf("instance-%03d", i), Incarnation: uint64(time.Now().UnixMilli()), Zone: zone,
		Rack: fmt.Sprintf("%s-rack-%d", zone, i/9+1),
	}
}

// announce announces an idle endpoint once a second, whatever interval the entry asks for.
func (c *crowd) announce(ctx context.Context, i int) {
	req := &control.AnnounceRequest{
		Process: identity(i), Service: service, Address: fmt.Sprintf("127.0.0.1:%d", 20_000+i), Slots: 8, Connections: 64,
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

// poll polls the decider for an empty worker.
func (c *crowd) poll(ctx context.Context, i int) {
	req := &control.SyncRequest{
		Process: identity(i), Capacity: &control.Resources{CpuMilli: 16_000, MemoryMb: 60_000}, WaitMs: uint32(pollWait.Milliseconds()),
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

// crowded measures one entry against the number of side processes.
func (r *runner) crowded(ctx context.Context, prefix, unit string, sizes []int, act func(*crowd) func(context.Context, int)) error {
	return r.withDeployment(ctx, func(o *deploy.Options) {}, func(d *deploy.Deployment) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if err := waitActing(ctx, d); err != nil {
			return err
		}
		c := newCrowd(d)
		defer c.running.Wait()
		defer cancel()
		for _, n := range sizes {
			c.grow(ctx, n, act(c))
			time.Sleep(settle)
			used, rates, err := during(ctx, r.Window, d.Entries[:1], wire(d.Entries[0].Proxies["control"]), c.counter())
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

// announced measures an entry against the endpoints that announce to it once a second.
func (r *runner) announced(ctx context.Context) error {
	return r.crowded(ctx, "entry.announce", "endpoints", []int{0, 80, 160, 240},
		func(c *crowd) func(context.Context, int) { return c.announce })
}

// polled measures a decider against the idle workers that poll it.
func (r *runner) polled(ctx context.Context) error {
	return r.crowded(ctx, "decider.poll", "workers", []int{0, 80, 160, 240},
		func(c *crowd) func(context.Context, int) { return c.poll })
}
