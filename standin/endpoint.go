package standin

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// EndpointOptions configure an endpoint.
type EndpointOptions struct {
	// ID identifies the endpoint in responses.
	ID string
	// ServiceTime is the mean service time; service times are uniform between 0.5 and 1.5 times the mean.
	ServiceTime time.Duration
	// Seed is the random seed of the service times.
	Seed uint64
}

// Execution is one execution of a request at an endpoint.
type Execution struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Endpoint  string `json:"endpoint"`
	StartNs   int64  `json:"start_ns"`
	EndNs     int64  `json:"end_ns"`
}

// Answer is the payload of an endpoint's response; history.ParseAnswer reads the line before it.
type Answer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Endpoint  string `json:"endpoint"`
	// BodySum is the CRC-32 of the request's body.
	BodySum uint32 `json:"body_sum"`
	// Execution is the number of this execution at the endpoint, from 1.
	Execution int `json:"execution"`
}

// Endpoint simulates one endpoint of a customer's service.
type Endpoint struct {
	*httpserver.Server
	opts EndpointOptions

	mu       sync.Mutex
	rng      *rand.Rand
	slowdown float64
	runs     []Execution
}

// NewEndpoint binds the listener of an endpoint.
func NewEndpoint(address string, opts EndpointOptions) (*Endpoint, error) {
	srv, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Server: srv, opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), slowdown: 1}
	srv.GET("/-/health", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	srv.GET("/-/history", func(_ context.Context, c *app.RequestContext) { httpserver.JSON(c, 200, e.Executions()) })
	srv.PUT("/-/slow", func(_ context.Context, c *app.RequestContext) {
		if f, err := strconv.ParseFloat(string(c.Request.Body()), 64); err == nil {
			e.SetSlowdownFactor(f)
		}
		c.String(200, "ok\n")
	})
	srv.NoRoute(e.serve)
	return e, nil
}

// SetSlowdownFactor sets the factor by which service times are multiplied.
func (e *Endpoint) SetSlowdownFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Executions returns the executions at the endpoint, in order of start.
func (e *Endpoint) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.runs...)
}

func (e *Endpoint) serve(_ context.Context, c *app.RequestContext) {
	a := Answer{
		RequestID: string(c.GetHeader("X-Request-Id")), Key: string(c.GetHeader("Idempotency-Key")), Endpoint: e.opts.ID,
		BodySum: crc32.ChecksumIEEE(c.Request.Body()),
	}
	e.mu.Lock()
	e.runs = append(e.runs, Execution{RequestID: a.RequestID, Key: a.Key, Endpoint: e.opts.ID, StartNs: time.Now().UnixNano()})
	a.Execution = len(e.runs)
	took := time.Duration(float64(e.opts.ServiceTime) * (0.5 + e.rng.Float64()) * e.slowdown)
	e.mu.Unlock()
	if ms, err := strconv.Atoi(c.Query("ms")); err == nil {
		took = time.Duration(ms) * time.Millisecond
	}
	time.Sleep(took)
	e.mu.Lock()
	e.runs[a.Execution-1].EndNs = time.Now().UnixNano()
	e.mu.Unlock()
	payload, err := json.Marshal(a)
	if err != nil {
		c.String(500, err.Error())
		return
	}
	c.Response.Header.SetContentType("text/plain")
	c.SetStatusCode(200)
	c.Response.SetBody(history.EncodeBody(a.RequestID, payload))
}
