package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

// customer is the customer of all measured work.
const customer = "hartwell"

// tokenSum is the SHA-256 sum of the bearer token "token".
const tokenSum = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

var bearer = map[string]string{"Authorization": "Bearer token"}

// contract returns a contract whose limits are too high to affect the measurements.
func contract(name, serviceName string) record.Contract {
	return record.Contract{
		Customer: name, Priority: record.Critical,
		Guaranteed:        record.Resources{CPUMilli: 400_000, MemoryMB: 1_500_000},
		Burst:             record.Resources{CPUMilli: 40_000_000, MemoryMB: 150_000_000},
		RequestsPerSecond: 100_000, RequestBurst: 10_000, Concurrency: 10_000, MaxTasks: 100_000, MaxQueued: 100_000,
		Services: []record.Service{{
			Name: serviceName, DeadlineMs: 5000, Public: true, Once: []record.OnceRule{{Method: "POST", Prefix: "/clearance"}},
		}},
		TokenSHA256: []string{tokenSum},
	}
}

// publishContract publishes the contract and waits for a decider with all workers registered.
func publishContract(ctx context.Context, d *deploy.Deployment) error {
	c := contract(customer, service)
	body, err := json.Marshal(record.ConfigChange{Contract: &c})
	if err != nil {
		return err
	}
	status, reply, err := deploy.Call(ctx, http.MethodPost, d.Entries[0].URL("operator")+"/v1/config", nil, body)
	if err != nil || status != 200 {
		return fmt.Errorf("publish contract: status %d: %s: %w", status, reply, err)
	}
	return waitForDecider(ctx, d)
}

func submit(ctx context.Context, d *deploy.Deployment, job record.Job) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	status, reply, err := deploy.Call(ctx, http.MethodPost, d.Entries[0].URL("public")+"/v1/jobs", bearer, body)
	if err == nil && status != 202 {
		err = fmt.Errorf("submit %s: status %d: %s", job.ID, status, reply)
	}
	return err
}

// running returns the number of placed tasks of a job.
func running(ctx context.Context, d *deploy.Deployment, job string) int {
	var a entry.JobAccount
	if getJSON(ctx, d.Entries[0].URL("operator")+"/v1/jobs/"+customer+"/"+job, &a) != nil {
		return 0
	}
	n := 0
	for _, t := range a.Tasks {
		if t.State.Placed() {
			n++
		}
	}
	return n
}

// measureHeldTasks measures a side process and the decider against the number of tasks that the worker holds.
func (r *runner) measureHeldTasks(ctx context.Context) error {
	return r.withDeployment(ctx, func(o *deploy.Options) { o.Instances = 1 }, func(d *deploy.Deployment) error {
		if err := publishContract(ctx, d); err != nil {
			return err
		}
		side, e := d.Instances[0].Side, d.Entries[0]
		before := 0
		for _, n := range []int{0, 8, 16, 32} {
			if n > before {
				job := record.Job{
					ID: fmt.Sprintf("watch-%d", n), Kind: record.StandingJob, Class: "watch", Tasks: n - before, Checkpoint: true,
					Size: record.Resources{CPUMilli: 100, MemoryMB: 100},
				}
				if err := submit(ctx, d, job); err != nil {
					return err
				}
				wanted := n - before
				if err := deploy.WaitFor(ctx, "long-running tasks to start", func() bool { return running(ctx, d, job.ID) == wanted }); err != nil {
					return err
				}
				before = n
			}
			time.Sleep(warmUp)
			used, rates, err := measureWindow(ctx, r.Window, []*deploy.Node{side, e}, wireBytes(e.Proxies["control"]), appends(ctx, d))
			if err != nil {
				return err
			}
			x := float64(n)
			r.add("side.held.rss", "held tasks", "MB", x, used[0].rss)
			r.add("side.held.cpu", "held tasks", "% of a core", x, used[0].cpu)
			r.add("side.held.bytes", "held tasks", "B/s", x, rates[0])
			r.add("decider.held.cpu", "held tasks", "% of a core", x, used[1].cpu)
			r.add("log.held.appends", "held tasks", "appends/s", x, rates[1])
		}
		return nil
	})
}

// measureRequests measures an entry and a side process against the rate of idempotent requests.
func (r *runner) measureRequests(ctx context.Context) error {
	return r.withDeployment(ctx, func(o *deploy.Options) { o.Instances, o.Service = 1, service }, func(d *deploy.Deployment) error {
		if err := publishContract(ctx, d); err != nil {
			return err
		}
		e, side := d.Entries[0], d.Instances[0].Side
		url := e.URL("public") + "/" + service + "/seats"
		err := deploy.WaitFor(ctx, "routing", func() bool {
			status, _, err := deploy.Call(ctx, http.MethodGet, url, nil, nil)
			return err == nil && status == 200
		})
		if err != nil {
			return err
		}
		for _, rate := range []int{0, 100, 200, 400} {
			if err := r.measureRequestRate(ctx, d, e, side, rate); err != nil {
				return err
			}
		}
		return nil
	})
}

func (r *runner) measureRequestRate(ctx context.Context, d *deploy.Deployment, e, side *deploy.Node, rate int) error {
	done := make(chan error, 1)
	if rate == 0 {
		done <- nil
	} else {
		n := rate * int((r.Window+time.Second)/time.Second)
		go func() {
			result, err := load.Run(ctx, load.Config{
				Targets: []string{e.Address("public")}, Arrivals: load.Arrivals(float64(rate), n, true, r.Seed), MaxOutstanding: 200,
				Timeout: 5 * time.Second, Deadline: time.Second,
				Next: func(i int) load.Request {
					return load.Request{ID: fmt.Sprintf("r-%d-%d", rate, i), Method: http.MethodGet, Path: "/" + service + "/seats"}
				},
			})
			if err == nil && result.Good < n*9/10 {
				err = fmt.Errorf("%d of %d requests were answered in time: %v", result.Good, n, result.Outcomes)
			}
			done <- err
		}()
	}
	time.Sleep(time.Second / 2)
	used, rates, err := measureWindow(ctx, r.Window, []*deploy.Node{e, side},
		wireBytes(d.Entries[0].Proxies["public"]), wireBytes(side.Proxies["data"]))
	if err != nil {
		return err
	}
	x := float64(rate)
	r.add("entry.requests.cpu", "requests/s", "% of a core", x, used[0].cpu)
	r.add("entry.requests.rss", "requests/s", "MB", x, used[0].rss)
	r.add("entry.requests.bytes", "requests/s", "B/s with callers", x, rates[0])
	r.add("side.requests.cpu", "requests/s", "% of a core", x, used[1].cpu)
	r.add("side.requests.rss", "requests/s", "MB", x, used[1].rss)
	r.add("side.requests.bytes", "requests/s", "B/s with entries", x, rates[1])
	return <-done
}

// Size of the deployment and of the jobs of group starts.
const (
	startWorkers = 6
	startTasks   = 4
	startRunMs   = 1000
)

// measureStarts measures the decider, a side process and the log against the rate of task starts.
func (r *runner) measureStarts(ctx context.Context) error {
	return r.withDeployment(ctx, func(o *deploy.Options) {
		o.Instances = startWorkers
		o.WorkerArgs = func(int) []string { return []string{"--usage-lag", "200ms"} }
	}, func(d *deploy.Deployment) error {
		if err := publishContract(ctx, d); err != nil {
			return err
		}
		rng := rand.New(rand.NewPCG(r.Seed, 1))
		for _, jobs := range []int{0, 2, 5, 10} {
			if err := r.measureStartRate(ctx, d, jobs, rng); err != nil {
				return err
			}
		}
		return nil
	})
}

func (r *runner) measureStartRate(ctx context.Context, d *deploy.Deployment, jobs int, rng *rand.Rand) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, 1)
	if jobs > 0 {
		go func() {
			t := time.NewTicker(time.Second / time.Duration(jobs))
			defer t.Stop()
			for i := 0; loading.Err() == nil; i++ {
				err := submit(loading, d, record.Job{
					ID: fmt.Sprintf("plan-%d-%d", jobs, i), Kind: record.BatchJob, Class: fmt.Sprintf("plan-%d", i%50), Tasks: startTasks,
					Size: record.Resources{CPUMilli: 500, MemoryMB: 500}, RunMs: startRunMs/2 + rng.Int64N(startRunMs), Checkpoint: true,
				})
				if err != nil && loading.Err() == nil {
					failed <- err
					return
				}
				<-t.C
			}
		}()
	}
	time.Sleep(warmUp)
	b := &batchCounter{log: logclient.New(d.LogNode.URL("http")), next: 1}
	nodes := append([]*deploy.Node{d.Entries[0]}, d.Instances[0].Side)
	counters := append(b.counters(ctx), appends(ctx, d), wireBytes(d.Entries[0].Proxies["control"]))
	used, rates, err := measureWindow(ctx, r.Window, nodes, counters...)
	if err != nil {
		return err
	}
	x := rates[2]
	const unit = "task starts/s"
	r.add("decider.starts.cpu", unit, "% of a core", x, used[0].cpu)
	r.add("decider.starts.rss", unit, "MB", x, used[0].rss)
	r.add("decider.starts.control_bytes", unit, "B/s", x, rates[5])
	r.add("log.starts.batches", unit, "batches/s", x, rates[0])
	r.add("log.starts.batch_bytes", unit, "B/s", x, rates[1])
	r.add("log.starts.appends", unit, "appends/s of all streams", x, rates[4])
	r.add("side.starts.cpu", "task starts/s at one worker", "% of a core", x/startWorkers, used[1].cpu)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
