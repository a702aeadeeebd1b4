package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// answerTimeout limits the wait for an answer that must arrive.
const answerTimeout = 30 * time.Second

// serve starts a server and returns its address.
func serve(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(history.EncodeBody(r.Header.Get("X-Request-Id"), []byte(r.URL.Path)))
}

func config(arrivals []time.Duration, targets ...string) Config {
	return Config{
		Targets: targets, Arrivals: arrivals, MaxOutstanding: 1000, Timeout: answerTimeout, Deadline: answerTimeout, Origin: time.Now(),
		Next: func(i int) Request {
			return Request{ID: fmt.Sprintf("r%d", i), Method: "POST", Path: "/svc/x", Body: []byte("b")}
		},
	}
}

func run(t *testing.T, cfg Config) *Result {
	t.Helper()
	result, err := Run(context.Background(), cfg)
	assert.NilError(t, err)
	return result
}

// Guards against arrivals that do not depend on the rate or the seed.
func TestArrivals(t *testing.T) {
	assert.DeepEqual(t, Arrivals(100, 3, false, 1), []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond})
	a := Arrivals(100, 10000, true, 1)
	assert.DeepEqual(t, a, Arrivals(100, 10000, true, 1))
	assert.Assert(t, !slices.Equal(a, Arrivals(100, 10000, true, 2)))
	assert.Assert(t, slices.IsSorted(a))
	last := a[len(a)-1].Seconds() // 100 s expected, with a standard deviation of 1 s
	assert.Assert(t, last > 95 && last < 105, "last arrival at %v s", last)
}

// Guards against a load that should wait for free slots, but drops arrivals or exceeds MaxOutstanding.
func TestWaitForSlotKeepsMaxOutstanding(t *testing.T) {
	var concurrent, maxConcurrent atomic.Int32
	cfg := config(Arrivals(10_000, 200, false, 0), serve(t, func(w http.ResponseWriter, r *http.Request) {
		maxConcurrent.Store(max(maxConcurrent.Load(), concurrent.Add(1)))
		time.Sleep(time.Millisecond)
		echo(w, r)
		concurrent.Add(-1)
	}))
	cfg.MaxOutstanding, cfg.WaitForSlot = 3, true
	result := run(t, cfg)
	assert.Equal(t, result.Outcomes[history.Answered], 200)
	assert.Assert(t, maxConcurrent.Load() <= 3, "%d at once", maxConcurrent.Load())
}

// Guards against coordinated omission: a stall must appear in the latency of every request that was due meanwhile, not
// just of one.
func TestStallShowsInAllRequestsDue(t *testing.T) {
	const stall = 300 * time.Millisecond
	end := make(chan struct{})
	cfg := config(Arrivals(100, 20, false, 0), serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-end
		echo(w, r)
	}))
	next := cfg.Next
	cfg.Next = func(i int) Request {
		if i == 0 {
			time.AfterFunc(stall, func() { close(end) })
		}
		return next(i)
	}
	result := run(t, cfg)
	assert.Equal(t, result.Outcomes[history.Answered], 20)
	// The last arrival is due 190 ms after the first, so every request waits for at least 110 ms.
	assert.Assert(t, result.Answered.Min() >= 109_000, "%d us", result.Answered.Min())
}

// Guards against latencies measured from the actual send time, which would hide delays in the load generator itself.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	cfg := config([]time.Duration{0, 0, 0}, serve(t, echo))
	next := cfg.Next
	cfg.Next = func(i int) Request {
		time.Sleep(20 * time.Millisecond)
		return next(i)
	}
	result := run(t, cfg)
	assert.Assert(t, result.All.Max() >= 59_000, "%d us", result.All.Max())
	assert.Assert(t, result.All.Min() >= 19_000, "%d us", result.All.Min())
	assert.Assert(t, result.Late.Max() >= 59_000, "%d us", result.Late.Max())
}

// Guards against an unbounded number of outstanding requests, and against arrivals missing in the counts.
func TestMaxOutstanding(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	cfg := config(make([]time.Duration, 10), address)
	cfg.MaxOutstanding, cfg.Timeout = 3, 500*time.Millisecond
	result := run(t, cfg)
	assert.DeepEqual(t, result.Outcomes, map[history.Verdict]int{history.Unknown: 3, Unsent: 7})
	assert.Equal(t, result.All.TotalCount(), int64(3))
}

// Guards against requests sent to a target that fails its health check, and against uneven distribution over the others.
func TestUnhealthyTargetsAreSkipped(t *testing.T) {
	a, b := serve(t, echo), serve(t, echo)
	bad := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	cfg := config(make([]time.Duration, 20), a, bad, b)
	cfg.HealthPath, cfg.HealthInterval = "/health", answerTimeout
	result := run(t, cfg)
	assert.DeepEqual(t, result.PerTarget, map[string]int{a: 10, b: 10})
}

// Guards against goodput that includes answers after the deadline.
func TestGoodput(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	})
	cfg := config(make([]time.Duration, 5), address)
	assert.Equal(t, run(t, cfg).Good, 5)
	cfg.Deadline = 10 * time.Millisecond
	result := run(t, cfg)
	assert.Equal(t, result.Good, 0)
	assert.Equal(t, result.Outcomes[history.Answered], 5)
}

// Guards against a client that retries a request by itself after its reply was lost on a pooled connection.
func TestRequestsAreSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "DELETE", "POST"} {
		t.Run(method, func(t *testing.T) {
			var executed atomic.Int64
			proxy, err := faultproxy.New(serve(t, func(w http.ResponseWriter, r *http.Request) {
				executed.Add(1)
				echo(w, r)
			}))
			assert.NilError(t, err)
			defer func() { _ = proxy.Close() }()
			proxy.DropReplies(1, "/lost")
			cfg := config([]time.Duration{0, 0}, proxy.Address())
			cfg.History = new(history.Recorder)
			cfg.Next = func(i int) Request {
				for i == 1 && len(cfg.History.Events()) < 2 { // until the first request was answered
					time.Sleep(time.Millisecond)
				}
				return Request{ID: fmt.Sprint(i), Method: method, Path: []string{"/first", "/lost"}[i]}
			}
			result := run(t, cfg)
			assert.DeepEqual(t, result.Outcomes, map[history.Verdict]int{history.Answered: 1, history.Unknown: 1})
			assert.Equal(t, executed.Load(), int64(2))
			assert.Equal(t, proxy.Stats().Accepted, 1, "the second request must use the pooled connection")
		})
	}
}

// Guards against a history with missing or wrong requests and answers: the checker must accept a correct server and find
// the faults of a faulty one.
func TestHistory(t *testing.T) {
	var right, wrong history.Recorder
	cfg := config(make([]time.Duration, 8), serve(t, echo))
	cfg.Next = func(i int) Request {
		return Request{ID: fmt.Sprint(i), Method: "POST", Path: "/svc/x", Customer: "h", Key: fmt.Sprint("k", i)}
	}
	cfg.History = &right
	run(t, cfg)
	assert.Equal(t, len(right.Events()), 16)
	assert.Equal(t, len(history.Check(right.Events())), 0)

	cfg.History = &wrong
	cfg.Targets = []string{serve(t, func(w http.ResponseWriter, r *http.Request) {
		wrong.Add(history.Execution{ID: r.Header.Get("X-Request-Id"), Key: "h/" + r.Header.Get("Idempotency-Key")})
		switch id := r.Header.Get("X-Request-Id"); id {
		case "0":
			_, _ = w.Write(history.EncodeBody("1", nil))
		case "1":
			_, _ = w.Write(history.EncodeBody(id, []byte("abc"))[:20])
		case "2":
			w.WriteHeader(503)
			_, _ = w.Write([]byte(`{"error":{"kind":"refused"},"not_run":true}`))
		default:
			echo(w, r)
		}
	})}
	run(t, cfg)
	found := map[history.Rule]int{}
	for _, v := range history.Check(wrong.Events()) {
		found[v.Rule]++
	}
	assert.DeepEqual(t, found, map[history.Rule]int{
		history.AnswerMismatched: 1, history.AnswerCorrupt: 1, history.NotRunExecuted: 1})
}

// Guards against a load that continues after its context ended, and against accepting an incomplete configuration.
func TestRunStops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cfg := config([]time.Duration{0, time.Hour}, serve(t, echo))
	next := cfg.Next
	cfg.Next = func(i int) Request {
		time.AfterFunc(50*time.Millisecond, cancel)
		return next(i)
	}
	result, err := Run(ctx, cfg)
	assert.NilError(t, err)
	assert.DeepEqual(t, result.Outcomes, map[history.Verdict]int{history.Answered: 1})
	_, err = Run(ctx, Config{})
	assert.ErrorContains(t, err, "incomplete")
}

// BenchmarkRun reports the latency and the send delay of a load of 2,000 requests per second for 2 s.
func BenchmarkRun(b *testing.B) {
	address := serve(b, echo)
	for b.Loop() {
		result, err := Run(context.Background(), config(Arrivals(2000, 4000, true, 1), address))
		assert.NilError(b, err)
		b.ReportMetric(float64(result.Answered.ValueAtQuantile(50)), "p50-us")
		b.ReportMetric(float64(result.Answered.ValueAtQuantile(99)), "p99-us")
		b.ReportMetric(float64(result.Late.ValueAtQuantile(99)), "late-p99-us")
		b.ReportMetric(result.Goodput(), "answers/s")
	}
}
