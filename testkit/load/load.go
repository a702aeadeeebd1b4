// Package load is an open-loop load generator: it sends HTTP requests at times fixed in advance, independently of
// answers, and measures latencies and outcomes.
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

// Unsent is the outcome of requests that were not sent because MaxOutstanding requests were waiting for answers.
const Unsent history.Verdict = "unsent"

// maxLatencyUs is the largest latency that the histograms can hold; larger ones are recorded as this value.
const maxLatencyUs = int64(10 * time.Minute / time.Microsecond)

// Request is one request of the load.
type Request struct {
	// ID is sent as X-Request-Id. It must be unique in the history.
	ID string
	// Method and Path are as in HTTP; Path begins with a slash.
	Method, Path string
	// Customer and Key identify a non-repeatable request. Key is sent as Idempotency-Key; it is empty for repeatable
	// requests.
	Customer, Key string
	// Header holds additional headers.
	Header map[string]string
	// Body is the request body.
	Body []byte
}

// Config describes a load.
type Config struct {
	// Targets are the addresses, IP and port, to which requests are sent round-robin.
	Targets []string
	// Arrivals are the intended send times as offsets from the start of Run.
	Arrivals []time.Duration
	// Next returns the request of the arrival with this index. It is called from one goroutine.
	Next func(i int) Request
	// MaxOutstanding bounds the number of requests that wait for answers; arrivals beyond it are counted as Unsent.
	MaxOutstanding int
	// WaitForSlot makes arrivals beyond MaxOutstanding wait for a free slot instead. It is for loads of which every request must
	// be sent: after a stall of the machine, more requests would otherwise be sent at once than the endpoints accept.
	WaitForSlot bool
	// Timeout bounds the wait for one answer, counted from the actual send time.
	Timeout time.Duration
	// Deadline is the largest latency of an answer that counts as goodput.
	Deadline time.Duration
	// HealthPath is requested from each target every HealthInterval; targets that do not answer 200 are skipped. If
	// HealthPath is empty, all targets are considered healthy.
	HealthPath string
	// HealthInterval is the time between health requests and the timeout of each.
	HealthInterval time.Duration
	// History receives requests and answers; it may be nil. Their times are relative to Origin.
	History *history.Recorder
	// Origin is the origin of time in History.
	Origin time.Time
}

// Result holds the measurements of a load.
type Result struct {
	// Answered holds the latencies of requests answered by endpoints in microseconds, from the intended send time.
	Answered *hdrhistogram.Histogram
	// All holds the latencies of all requests sent, whatever their outcome, in the same way.
	All *hdrhistogram.Histogram
	// Late holds the delays between intended and actual send times in microseconds, the generator's own error.
	Late *hdrhistogram.Histogram
	// Outcomes counts requests by outcome.
	Outcomes map[history.Verdict]int
	// Good is the number of answers within the deadline.
	Good int
	// PerTarget counts the requests sent to each target.
	PerTarget map[string]int
	// Elapsed is the time from the start of the load to the last answer.
	Elapsed time.Duration
}

// Goodput returns the number of answers within the deadline per second.
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

// Run sends the load and returns when every request has been answered or has timed out. If ctx ends, the remaining
// arrivals are dropped and the result covers the requests sent.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if len(cfg.Targets) == 0 || cfg.Next == nil || cfg.MaxOutstanding < 1 || cfg.Timeout <= 0 ||
		(cfg.HealthPath != "" && cfg.HealthInterval <= 0) {
		return nil, fmt.Errorf("load configuration is incomplete; set Targets, Next, MaxOutstanding, Timeout and, with " +
			"HealthPath, HealthInterval")
	}
	c, err := client.NewClient(client.WithDialTimeout(cfg.Timeout), client.WithMaxConnsPerHost(cfg.MaxOutstanding+1),
		client.WithDialer(noRetryDialer{dialer.DefaultDialer()}))
	if err != nil {
		return nil, fmt.Errorf("create HTTP client: %w", err)
	}
	defer c.CloseIdleConnections()
	r := &runner{Config: cfg, client: c}
	r.balancer.unhealthy = make([]atomic.Bool, len(cfg.Targets))
	r.result = Result{Answered: newHistogram(), All: newHistogram(), Late: newHistogram(),
		Outcomes: map[history.Verdict]int{}, PerTarget: map[string]int{}}
	stopHealth := r.startHealthChecks(ctx)
	defer stopHealth()
	r.begin = time.Now()
	r.dispatch(ctx)
	r.result.Elapsed = time.Since(r.begin)
	return &r.result, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyUs)) // cannot fail: the value is in range
}

func (r *runner) dispatch(ctx context.Context) {
	slots := make(chan struct{}, r.MaxOutstanding)
	var sent sync.WaitGroup
	defer sent.Wait()
	for i, offset := range r.Arrivals {
		if !precise.SleepUntil(r.begin.Add(offset), ctx.Done()) {
			return
		}
		request := r.Next(i)
		if !r.acquireSlot(ctx, slots) {
			r.updateResult(func(result *Result) { result.Outcomes[Unsent]++ })
			continue
		}
		target := r.Targets[r.balancer.pick()]
		sent.Go(func() {
			r.send(request, target, offset)
			<-slots
		})
	}
}

// acquireSlot acquires a slot for an outstanding request. It returns false if none is free; if the load is configured to
// wait for a slot, it returns false only if ctx ends.
func (r *runner) acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	if !r.WaitForSlot {
		return false
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) updateResult(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

// send sends one request, waits for the answer and records both. It does not use the load's context, so that every
// request sent gets an outcome.
func (r *runner) send(request Request, target string, offset time.Duration) {
	key := request.Key
	if key != "" {
		key = request.Customer + "/" + key
	}
	late := time.Since(r.begin) - offset
	r.recordEvent(history.Request{At: time.Since(r.Origin), ID: request.ID, Key: key})
	answer := r.exchange(request, target)
	latency := time.Since(r.begin) - offset
	answer.At, answer.ID = time.Since(r.Origin), request.ID
	r.recordEvent(answer)
	r.updateResult(func(result *Result) {
		recordDuration(result.All, latency)
		recordDuration(result.Late, late)
		result.Outcomes[answer.Verdict]++
		result.PerTarget[target]++
		if answer.Verdict != history.Answered {
			return
		}
		recordDuration(result.Answered, latency)
		if latency <= r.Deadline {
			result.Good++
		}
	})
}

func (r *runner) recordEvent(e history.Event) {
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
	return history.ParseAnswer(resp.StatusCode(), resp.Body())
}

// startHealthChecks checks the health of each target once before it returns, and then periodically until the returned
// function is called or ctx ends.
func (r *runner) startHealthChecks(ctx context.Context) func() {
	if r.HealthPath == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var first, watchers sync.WaitGroup
	for i := range r.Targets {
		first.Add(1)
		watchers.Go(func() {
			r.checkHealth(ctx, i)
			first.Done()
			ticker := time.NewTicker(r.HealthInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					r.checkHealth(ctx, i)
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

func (r *runner) checkHealth(ctx context.Context, i int) {
	status, _, err := r.client.GetTimeout(ctx, nil, "http://"+r.Targets[i]+r.HealthPath, r.HealthInterval)
	r.balancer.unhealthy[i].Store(err != nil || status != 200)
}
