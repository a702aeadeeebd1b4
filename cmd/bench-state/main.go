// Command bench-state measures the replicated state: the time until a configuration change is in force, the last task start
// in a zone taken out of service, the log appends and bytes per task, and the recovery time of an entry. It prints one JSON
// object per line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/standin"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

type args struct {
	Seed      uint64 `arg:"--seed" default:"1" help:"seed of the jobs' run times"`
	Instances int    `arg:"--instances" default:"10" help:"instances; today's size of a region is 10"`
	Jobs      int    `arg:"--jobs" default:"40" help:"jobs per condition in the measurements of zone removal and log usage"`
	Rounds    int    `arg:"--rounds" default:"5" help:"configuration changes per condition"`
}

// result is one line of output.
type result struct {
	Measure   string  `json:"measure"`
	Condition string  `json:"condition"`
	Seed      uint64  `json:"seed"`
	Size      int     `json:"size"`
	Value     float64 `json:"value"`
	Max       float64 `json:"max,omitempty"`
	Unit      string  `json:"unit"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// bench is one deployment under measurement.
type bench struct {
	args
	ctx       context.Context
	d         *deploy.Deployment
	condition string
	out       *json.Encoder
	jobs      int
}

func run(a args) error {
	if err := runConditions(a); err != nil {
		return err
	}
	for _, factor := range []int{1, 10} {
		if err := measureKeptState(a, factor); err != nil {
			return fmt.Errorf("retained state, factor %d: %w", factor, err)
		}
	}
	return nil
}

// start starts a deployment with settings files in dir.
func start(ctx context.Context, a args, dir string, change func(*deploy.Options)) (*deploy.Deployment, error) {
	opts := deploy.Options{
		Dir: dir, Region: "midshire", Zones: []string{"midshire-a", "midshire-b", "midshire-c"}, Entries: 3, Instances: a.Instances,
		Service: "fitcheck", ServiceTime: 5 * time.Millisecond, ZoneDelay: 1500 * time.Microsecond,
		Log: memlog.Options{AppendsPerSecond: 300},
	}
	change(&opts)
	return deploy.Start(ctx, opts)
}

// condition is a state of the log under which the measurements run.
type condition struct {
	name string
	set  func() error
}

func (b *bench) conditions() []condition {
	return []condition{
		{"healthy", func() error { return nil }},
		{"slow log (200 ms a call)", func() error { return b.d.SetLogFaults(b.ctx, memlog.Faults{DelayMs: 200}) }},
		{"after an outage of 10 s", b.outage},
	}
}

func runConditions(a args) error {
	ctx := context.Background()
	dir, err := os.MkdirTemp("", "bench-state")
	if err != nil {
		return fmt.Errorf("make settings directory: %w", err)
	}
	defer os.RemoveAll(dir)
	d, err := start(ctx, a, dir, func(*deploy.Options) {})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	b := &bench{args: a, ctx: ctx, d: d, out: json.NewEncoder(os.Stdout)}
	if _, err := b.change(contract(1)); err != nil {
		return err
	}
	for _, c := range b.conditions() {
		if err := c.set(); err != nil {
			return err
		}
		b.condition = c.name
		for _, f := range []func() error{b.measureInForce, b.measureZoneOut, b.measureRecovery} {
			if err := f(); err != nil {
				return fmt.Errorf("%s: %w", c.name, err)
			}
		}
	}
	return nil
}

func (b *bench) outage() error {
	if err := b.d.SetLogFaults(b.ctx, memlog.Faults{Down: true}); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	return b.d.SetLogFaults(b.ctx, memlog.Faults{})
}

func (b *bench) print(measure string, size int, value, high float64, unit string) error {
	return b.out.Encode(result{measure, b.condition, b.Seed, size, value, high, unit})
}

func contract(n int) string {
	return fmt.Sprintf(`{"base":%%d,"contract":{"customer":"hartwell","priority":"critical","guaranteed":{"cpu_milli":160000,
"memory_mb":600000},"burst":{"cpu_milli":160000,"memory_mb":600000},"requests_per_second":5000,"request_burst":1000,
"concurrency":500,"max_tasks":200,"max_queued":%d,"services":[{"name":"fitcheck","deadline_ms":5000,"public":true}],
"token_sha256":["3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"]}}`, 9000+n)
}

// change publishes a change based on the latest revision of its object and returns the new revision. The format has a verb
// for the base revision.
func (b *bench) change(format string) (uint64, error) {
	body := fmt.Sprintf(format, b.latestRevision(format))
	var o struct{ Revision uint64 }
	status, answer, err := deploy.Call(b.ctx, http.MethodPost, b.d.Entries[0].URL("operator")+"/v1/config", nil, []byte(body))
	if err == nil && status != 200 {
		err = fmt.Errorf("publish configuration change: status %d: %s", status, answer)
	}
	if err == nil {
		err = json.Unmarshal(answer, &o)
	}
	return o.Revision, err
}

// latestRevision returns the latest revision of the object that a change names, or 0 if there is none.
func (b *bench) latestRevision(format string) uint64 {
	var change struct{ Contract, Zone json.RawMessage }
	_ = json.Unmarshal([]byte(fmt.Sprintf(format, 0)), &change)
	path := "/v1/contracts"
	if change.Zone != nil {
		path = "/v1/zones"
	}
	var list []struct{ Revision uint64 }
	_, body, err := deploy.Call(b.ctx, http.MethodGet, b.d.Entries[0].URL("operator")+path, nil, nil)
	if err != nil || json.Unmarshal(body, &list) != nil || len(list) == 0 {
		return 0
	}
	return list[0].Revision
}

// measureInForce measures the time from sending a change until every entry and side process has reported its revision.
func (b *bench) measureInForce() error {
	var sum, high float64
	for i := range b.Rounds {
		began := time.Now()
		revision, err := b.change(contract(i))
		if err != nil {
			return err
		}
		var r entry.InForce
		url := fmt.Sprintf("%s/v1/inforce?revision=%d&wait_ms=30000", b.d.Entries[1].URL("operator"), revision)
		_, body, err := deploy.Call(b.ctx, http.MethodGet, url, nil, nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, &r); err != nil || !r.Everyone {
			return fmt.Errorf("not in force everywhere: %s", body)
		}
		took := time.Since(began).Seconds()
		sum, high = sum+took, max(high, took)
	}
	return b.print("publish to reported in force everywhere", b.Instances, sum/float64(b.Rounds), high, "s")
}

func (b *bench) submit(n int) error {
	for range n {
		b.jobs++
		job := fmt.Sprintf(`{"id":"b%d","kind":"batch","class":"c%d","tasks":2,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":%d}`,
			b.jobs, b.jobs, 200+(uint64(b.jobs)*b.Seed*7919)%800)
		status, body, err := deploy.Call(b.ctx, http.MethodPost, b.d.Entries[b.jobs%3].URL("public")+"/v1/jobs",
			map[string]string{"Authorization": "Bearer token"}, []byte(job))
		if err == nil && status != 202 {
			err = fmt.Errorf("submit job: status %d: %s", status, body)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureZoneOut takes a zone out of service under load and measures the last start there, and the log appends and bytes per
// task.
func (b *bench) measureZoneOut() error {
	from, err := b.logSize()
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- b.submit(b.Jobs) }()
	time.Sleep(time.Second)
	began := time.Now()
	if _, err := b.change(`{"base":%d,"zone":{"zone":"midshire-a","out":true}}`); err != nil {
		return err
	}
	accepted := time.Now()
	if err := <-done; err != nil {
		return err
	}
	if err := b.waitForJobs(); err != nil {
		return err
	}
	last := began
	for i, in := range b.d.Instances {
		if i%3 != 0 {
			continue
		}
		var list []standin.TaskEvent
		_, body, err := deploy.Call(b.ctx, http.MethodGet, in.Worker.URL("http")+"/history", nil, nil)
		if err != nil || json.Unmarshal(body, &list) != nil {
			return fmt.Errorf("read worker history: %w", err)
		}
		for _, e := range list {
			if at := time.Unix(0, e.AtNs); e.Kind == "start" && at.After(last) {
				last = at
			}
		}
	}
	if err := b.print("zone out: order sent to last start there", b.Instances, last.Sub(began).Seconds(), accepted.Sub(began).Seconds(), "s (max: order sent to accepted)"); err != nil {
		return err
	}
	to, err := b.logSize()
	if err != nil {
		return err
	}
	tasks := float64(2 * b.Jobs)
	if err := b.print("appends per task, heartbeats included", 2*b.Jobs, float64(to.records-from.records)/tasks, 0, "appends"); err != nil {
		return err
	}
	if err := b.print("bytes per task, heartbeats included", 2*b.Jobs, float64(to.bytes-from.bytes)/tasks, 0, "bytes"); err != nil {
		return err
	}
	_, err = b.change(`{"base":%d,"zone":{"zone":"midshire-a","out":false}}`)
	return err
}

// waitForJobs waits until all submitted jobs have ended.
func (b *bench) waitForJobs() error {
	open := ""
	err := deploy.WaitFor(b.ctx, "jobs to finish", func() bool {
		var list []entry.JobSummary
		_, body, err := deploy.Call(b.ctx, http.MethodGet, b.d.Entries[1].URL("operator")+"/v1/jobs", nil, nil)
		if err != nil || json.Unmarshal(body, &list) != nil || len(list) < b.jobs {
			return false
		}
		for _, j := range list {
			if j.State == "open" {
				open = j.ID
				return false
			}
		}
		return true
	})
	if err != nil {
		_, body, _ := deploy.Call(b.ctx, http.MethodGet, b.d.Entries[0].URL("operator")+"/v1/jobs/"+open, nil, nil)
		return fmt.Errorf("%w: %s", err, body)
	}
	return nil
}

type logSize struct{ records, bytes int }

func (b *bench) logSize() (logSize, error) {
	var size logSize
	for from := uint64(1); ; {
		page, err := b.d.Mem.Read(b.ctx, "sched.midshire", from, 1000, 0)
		if err != nil {
			return size, err
		}
		if len(page.Entries) == 0 {
			return size, nil
		}
		for _, e := range page.Entries {
			size.records++
			size.bytes += len(e.Data)
			from = e.Offset + 1
		}
	}
}

// measureRecovery measures the time from starting an entry again until it is healthy.
func (b *bench) measureRecovery() error {
	took, err := b.restartEntry()
	if err != nil {
		return err
	}
	size, err := b.logSize()
	if err != nil {
		return err
	}
	return b.print("recovery of an entry, by records on the log", size.records, took.Seconds(), 0, "s")
}

// restartEntry restarts the last entry and returns the time from its start until it is healthy.
func (b *bench) restartEntry() (time.Duration, error) {
	e := b.d.Entries[2]
	if err := e.Stop(); err != nil {
		return 0, err
	}
	// An embedded entry that stopped may still hold open connections.
	for _, p := range e.Proxies {
		p.CloseConnections()
	}
	began := time.Now()
	if err := e.Start(b.ctx); err != nil {
		return 0, err
	}
	err := b.d.WaitHealthy(b.ctx, e)
	return time.Since(began), err
}
