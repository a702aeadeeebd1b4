// Package load sends HTTP requests at times fixed in advance (open loop), however late answers are, and measures them.
package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/dialer"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/internal/precise"
)

// Unsent counts requests that were not sent because MaxOutstanding were waiting for answers.
const Unsent history.Verdict = "unsent"

// maxLatencyUs is the largest latency that the histograms hold; larger ones count as this.
const maxLatencyUs = int64(10 * time.Minute / time.Microsecond)

// Request is one request of the load.
type Request struct {
	// ID is sent as X-Request-Id. It must be unique in the history.
	ID string
	// Method and Path are as in HTTP; Path begins with a slash.
	Method, Path string
	// Customer and Key name a non-repeatable request. Key is sent as Idempotency-Key; it is empty for others.
	Customer, Key string
	// Header is sent in addition.
	Header map[string]string
	// Body is the request body.
	Body []byte
}

// Config describes a load.
type Config struct {
	// Targets are IP addresses with ports, used in turn.
	Targets []string
	// Arrivals are the intended send times, counted from the begin of Run.
	Arrivals []time.Duration
	// Next returns the request of the arrival with this index. It is called from one goroutine.
	Next func(i int) Request
	// MaxOutstanding bounds requests waiting for answers; arrivals beyond it count as Unsent.
	MaxOutstanding int
	// Delay makes arrivals beyond MaxOutstanding wait for a place instead. A load that must lose nothing uses it, since a
	// stalled machine would otherwise send more at once than the endpoints may take.
	Delay bool
	// Timeout bounds the wait for one answer, counted from when the request was sent.
	Timeout time.Duration
	// Deadline is the longest latency of an answer that counts for goodput.
	Deadline time.Duration
	// HealthPath is asked on each target every HealthInterval; a target that does not answer 200 is skipped. If
	// HealthPath is empty all targets count as healthy.
	HealthPath string
	// HealthInterval is the time between health requests, and the bound on the wait for each.
	HealthInterval time.Duration
	// History receives requests and answers if it is set. Their times count from Origin.
	History *history.Recorder
	// Origin is the origin of time in History.
	Origin time.Time
}

// Result is what a load measured.
type Result struct {
	// Answered holds the latency of answers of endpoints in microseconds, from the intended send time.
	Answered *hdrhistogram.Histogram
	// All holds the same for all requests sent, whatever their outcome.
	All *hdrhistogram.Histogram
	// Late holds how much later than intended requests were sent, in microseconds; it is the generator's own error.
	Late *hdrhistogram.Histogram
	// Outcomes counts requests by outcome.
	Outcomes map[history.Verdict]int
	// Good is the number of answers within the deadline.
	Good int
	// PerTarget counts requests sent to each target.
	PerTarget map[string]int
	// Elapsed is the time from the begin to the last answer.
	Elapsed time.Duration
}

// Goodput returns the answers within the deadline per second.
func (r *Result) Goodput() float64 { return float64(r.Good) / r.Elapsed.Seconds() }

// runner is the state of one Run.
type runner struct {
	Config
	client   *client.Client
	balancer balancer
	begin    time.Time
	mu       sync.Mutex // guards result
	result   Result
}

// Run sends the load and returns when all answers arrived or timed out. If ctx ends, the arrivals that remain are
// dropped and the result is about the others.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if len(cfg.Targets) == 0 || cfg.Next == nil || cfg.MaxOutstanding < 1 || cfg.Timeout <= 0 ||
		(cfg.HealthPath != "" && cfg.HealthInterval <= 0) {
		return nil, fmt.Errorf("load configuration is incomplete; set Targets, Next, MaxOutstanding, Timeout and, with " +
			"HealthPath, HealthInterval")
	}
	c, err := client.NewClient(client.WithDialTimeout(cfg.Timeout), client.WithMaxConnsPerHost(cfg.MaxOutstanding+1),
		client.WithDialer(onceDialer{dialer.DefaultDialer()}))
	if err != nil {
		return nil, fmt.Errorf("make HTTP client: %w", err)
	}
	defer c.CloseIdleConnections()
	r := &runner{Config: cfg, client: c}
	r.balancer.unhealthy = make([]atomic.Bool, len(cfg.Targets))
	r.result = Result{Answered: newHistogram(), All: newHistogram(), Late: newHistogram(),
		Outcomes: map[history.Verdict]int{}, PerTarget: map[string]int{}}
	stopHealth := r.watchHealth(ctx)
	defer stopHealth()
	r.begin = time.Now()
	r.dispatch(ctx)
	r.result.Elapsed = time.Since(r.begin)
	return &r.result, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func add(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyUs)) // always in range
}

func (r *runner) dispatch(ctx context.Context) {
	outstanding := make(chan struct{}, r.MaxOutstanding)
	var sent sync.WaitGroup
	defer sent.Wait()
	for i, offset := range r.Arrivals {
		if !precise.SleepUntil(r.begin.Add(offset), ctx.Done()) {
			return
		}
		request := r.Next(i)
		if !r.place(ctx, outstanding) {
			r.count(func(result *Result) { result.Outcomes[Unsent]++ })
			continue
		}
		target := r.Targets[r.balancer.pick()]
		sent.Go(func() {
			r.send(request, target, offset)
			<-outstanding
		})
	}
}

// place takes one of the places for outstanding requests.
func (r *runner) place(ctx context.Context, outstanding chan struct{}) bool {
	select {
	case outstanding <- struct{}{}:
		return true
	default:
	}
	if !r.Delay {
		return false
	}
	select {
	case outstanding <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) count(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

// send exchanges one request. It ignores the end of the load's context so that requests sent get their outcome.
func (r *runner) send(request Request, target string, offset time.Duration) {
	key := request.Key
	if key != "" {
		key = request.Customer + "/" + key
	}
	late := time.Since(r.begin) - offset
	r.record(history.Request{At: time.Since(r.Origin), ID: request.ID, Key: key})
	answer := r.exchange(request, target)
	latency := time.Since(r.begin) - offset
	answer.At, answer.ID = time.Since(r.Origin), request.ID
	r.record(answer)
	r.count(func(result *Result) {
		add(result.All, latency)
		add(result.Late, late)
		result.Outcomes[answer.Verdict]++
		result.PerTarget[target]++
		if answer.Verdict != history.Answered {
			return
		}
		add(result.Answered, latency)
		if latency <= r.Deadline {
			result.Good++
		}
	})
}

func (r *runner) record(e history.Event) {
	if r.History != nil {
		r.History.Add(e)
	}
}

func (r *runner) exchange(request Request, target string) history.Answer {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(request.Method)
	req.SetRequestURI("http://" + target + request.Path)
	req.SetHeader("X-Request-Id", request.ID)
	if request.Key != "" {
		req.SetHeader("Idempotency-Key", request.Key)
	}
	for name, value := range request.Header {
		req.SetHeader(name, value)
	}
	req.SetBody(request.Body)
	if err := r.client.DoTimeout(context.Background(), req, resp, r.Timeout); err != nil {
		return history.Answer{Verdict: history.Unknown}
	}
	return history.ReadAnswer(resp.StatusCode(), resp.Body())
}

// watchHealth asks each target once before it returns and keeps asking until the returned function is called.
func (r *runner) watchHealth(ctx context.Context) func() {
	if r.HealthPath == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var first, watchers sync.WaitGroup
	for i := range r.Targets {
		first.Add(1)
		watchers.Go(func() {
			r.askHealth(ctx, i)
			first.Done()
			ticker := time.NewTicker(r.HealthInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					r.askHealth(ctx, i)
				case <-ctx.Done():
					return
				}
			}
		})
	}
	first.Wait()
	return func() {
		cancel()
		watchers.Wait()
	}
}

func (r *runner) askHealth(ctx context.Context, i int) {
	status, _, err := r.client.GetTimeout(ctx, nil, "http://"+r.Targets[i]+r.HealthPath, r.HealthInterval)
	r.balancer.unhealthy[i].Store(err != nil || status != 200)
}
