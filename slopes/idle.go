package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
)

// warmUp is the time between the start of a deployment and its measurement. In it, connections are opened and the first
// decider claim is made.
const warmUp = 2 * time.Second

// streams are the log streams of the region.
var streams = []string{"config", "sched." + region, "claims." + region}

// measureIdle measures idle entries and side processes against the number of entries.
func (r *runner) measureIdle(ctx context.Context) error {
	for entries := 1; entries <= 3; entries++ {
		// The first case has no side processes and gives the traffic between entries, which is subtracted from the others.
		exchange := 0.0
		for _, c := range []struct {
			instances int
			service   string
		}{{0, ""}, {3, ""}, {3, service}} {
			err := r.withDeployment(ctx, func(o *deploy.Options) {
				o.Entries, o.Instances, o.Service = entries, c.instances, c.service
			}, func(d *deploy.Deployment) error { return r.measureIdleDeployment(ctx, d, c.service, &exchange) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) measureIdleDeployment(ctx context.Context, d *deploy.Deployment, service string, exchange *float64) error {
	if err := waitForDecider(ctx, d); err != nil {
		return err
	}
	time.Sleep(warmUp)
	var control []*faultproxy.Proxy
	for _, e := range d.Entries {
		control = append(control, e.Proxies["control"])
	}
	nodes := append([]*deploy.Node{}, d.Entries...)
	for _, in := range d.Instances {
		nodes = append(nodes, in.Side)
	}
	used, rates, err := measureWindow(ctx, r.Window, nodes, wireBytes(control...), wireBytes(d.LogProxies...), appends(ctx, d))
	if err != nil {
		return err
	}
	entries, sides := len(d.Entries), float64(len(d.Instances))
	x := float64(entries)
	if len(d.Instances) == 0 {
		e := mean(used)
		r.add("entry.idle.rss", "entries", "MB per entry", x, e.rss)
		r.add("entry.idle.cpu", "entries", "% of a core per entry", x, e.cpu)
		r.add("entry.idle.log_bytes", "entries", "B/s per entry", x, rates[1]/x)
		*exchange = rates[0]
		// Every message counts for two entries, its sender and its receiver.
		r.add("entry.idle.exchange_bytes", "entries", "B/s per entry", x, 2*rates[0]/x)
		r.add("log.idle.appends", "entries", "appends/s of a region", x, rates[2])
		return nil
	}
	kind := "side.worker_only"
	if service != "" {
		kind = "side.idle"
	}
	side := mean(used[entries:])
	r.add(kind+".rss", "entries", "MB", x, side.rss)
	r.add(kind+".cpu", "entries", "% of a core", x, side.cpu)
	r.add(kind+".bytes", "entries", "B/s", x, (rates[0]-*exchange)/sides)
	return nil
}

// waitForDecider waits until an entry acts as decider and has registered all workers.
func waitForDecider(ctx context.Context, d *deploy.Deployment) error {
	return deploy.WaitFor(ctx, "a decider with all workers registered", func() bool {
		for _, e := range d.Entries {
			var st entry.Status
			if getJSON(ctx, e.URL("operator")+"/v1/status", &st) == nil && st.Acting && st.Workers >= len(d.Instances) {
				return true
			}
		}
		return false
	})
}

func getJSON(ctx context.Context, url string, into any) error {
	status, body, err := deploy.Call(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("GET %s: status %d: %s", url, status, body)
	}
	return json.Unmarshal(body, into)
}

// appends returns a counter of the records on all streams.
func appends(ctx context.Context, d *deploy.Deployment) counter {
	log := logclient.New(d.LogNode.URL("http"))
	return func() (float64, error) {
		sum := 0.0
		for _, s := range streams {
			page, err := log.Read(ctx, s, 1, 1, 0)
			if err != nil {
				return 0, err
			}
			sum += float64(page.Next - 1)
		}
		return sum, nil
	}
}

// batchCounter counts the batches on the region's stream, their bytes, and the starts and ended runs in them.
type batchCounter struct {
	log    *logclient.Client
	next   uint64
	count  float64
	bytes  float64
	starts float64
	ends   float64
}

// read counts the records appended since the last call.
func (b *batchCounter) read(ctx context.Context) error {
	for {
		page, err := b.log.Read(ctx, "sched."+region, b.next, 512, 0)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			rec, err := record.Decode(e.Data)
			if err != nil {
				return err
			}
			if rec.Batch != nil {
				b.count++
				b.bytes += float64(len(e.Data))
				b.starts += float64(len(rec.Batch.Starts))
				b.ends += float64(len(rec.Batch.Ends))
			}
			b.next = e.Offset + 1
		}
		if b.next >= page.Next {
			return nil
		}
	}
}

// counters returns the counters of batches, bytes, starts and ended runs. Only the first reads the log, so measureWindow has
// to call them in this order.
func (b *batchCounter) counters(ctx context.Context) []counter {
	return []counter{
		func() (float64, error) {
			err := b.read(ctx)
			return b.count, err
		},
		func() (float64, error) { return b.bytes, nil },
		func() (float64, error) { return b.starts, nil },
		func() (float64, error) { return b.ends, nil },
	}
}
