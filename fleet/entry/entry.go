// Package entry runs the process that accepts jobs from callers. All entries read the store; one at a time is the decider.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/intake"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// jobsReadPause and scheduleReadPause are pauses between reads of an entry that is not the decider. Requests for a job
	// that is unknown or unfinished read again; the length of a queue may be stale by as much.
	jobsReadPause     = 500 * time.Millisecond
	scheduleReadPause = 150 * time.Millisecond
	// scheduleReadWait is how long a read of the schedule waits for records. A read that reaches the end without one is what
	// shows that the decider sends no heartbeat.
	scheduleReadWait = 300 * time.Millisecond
	// peersReadPause is the pause between reads of the entries' addresses, which change only when an entry is replaced.
	peersReadPause = 2 * time.Second
	// maxReadyAgeMs is the maximum age of the last read at which the entry reports that it is ready.
	maxReadyAgeMs = 3000
	// notReadyPeriod is how long a stopping entry still accepts connections: the load balancer removes it after two failed
	// checks, one a second.
	notReadyPeriod = 2300 * time.Millisecond
	// stopMargin is subtracted from the platform's grace period.
	stopMargin = 500 * time.Millisecond
	// maxReadyBody bounds the body of a readiness check in bytes. It has none.
	maxReadyBody = 16 << 10
	// requestShare is the divisor of the descriptors that gives the number of requests of callers that are carried out at
	// once: each may open a connection to the store. The decider needs connections to it as well.
	requestShare = 8
	// minRequests is the lowest such number.
	minRequests = 16
)

// Entry is the entry process.
type Entry struct {
	set    settings.Fleet
	store  work.Store
	log    logevent.Logger
	meters *Meters
	public *httpserver.Server
	ready  *httpserver.Server

	// peer accepts calls of other entries; relay calls the store directly or through other entries. bridges bounds the
	// connections that are forwarded for them.
	peer    net.Listener
	relay   *relay
	bridges chan struct{}
	// explains bounds the explanations that are worked on at once.
	explains chan struct{}

	view *view
	// refusalLog limits the log lines on refusals because of the backlog.
	refusalLog logLimit
	// attempts holds the ids that this entry has tried to store lately.
	attempts attemptList
	jobs     *topicReader
	schedule *topicReader
	operator *topicReader
	sides    *topicReader
	peers    *topicReader
	config   *atomic.Pointer[work.Config]
	// requests bounds the requests of callers that are carried out at once.
	requests chan struct{}
	// stopping is true once a shutdown was requested.
	stopping atomic.Bool

	// deciding is the epoch in which this entry is the decider, from its claim on; 0 if it is not.
	deciding atomic.Uint64
	election *election
	adviser  *platform.Adviser

	mu sync.Mutex
	// evacuated holds the availability zones that are out of service.
	evacuated map[string]bool
	// addresses maps instances to the addresses of their side processes.
	addresses map[string]work.ProcessAddress
	// decider is nil unless this entry is the decider.
	decider *decider
}

// New creates an entry and binds its listeners.
func New(set settings.Fleet, store work.Store, log logevent.Logger, m *Meters) (*Entry, error) {
	in := intake.New(set, log, m.intake)
	config := new(atomic.Pointer[work.Config])
	public, err := httpserver.ListenBounded(set.Public, httpserver.Bounded{Intake: in, BodyLimit: bodyLimit(config), RefusalBody: platform.EncodeError})
	if err != nil {
		return nil, err
	}
	ready, err := httpserver.ListenBounded(set.Ready, httpserver.Bounded{Intake: in, BodyLimit: func() int { return maxReadyBody },
		RefusalBody: platform.EncodeError})
	if err != nil {
		return nil, err
	}
	peer, err := net.Listen("tcp", set.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for entries: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	r := newRelay(m.withTiming(store), set.Instance)
	e := &Entry{set: set, store: r, relay: r, peer: in.Listener(peer), log: log, meters: m, public: public, ready: ready, view: newView(log), config: config,
		requests: make(chan struct{}, max(minRequests, httpserver.Descriptors(set.MaxFDs)/requestShare)),
		bridges:  make(chan struct{}, maxBridges), explains: make(chan struct{}, maxExplains), evacuated: map[string]bool{}, addresses: map[string]work.ProcessAddress{}}
	if set.Adviser != "" {
		e.adviser = platform.NewAdviser(set.Adviser)
	}
	m.deciding.Store(&e.deciding)
	public.OnPanic = func(v any, stack []byte) { logPanic(log, v, stack) }
	ready.OnPanic = public.OnPanic
	e.election = newElection(set)
	e.jobs = &topicReader{topic: work.TopicJobs, store: e.store, log: log, batchPause: jobsReadPause, apply: e.view.applyJobs}
	e.schedule = &topicReader{topic: work.TopicSchedule, store: e.store, log: log, batchPause: scheduleReadPause, wait: scheduleReadWait, apply: e.applySchedule,
		onCaughtUp: e.scheduleCaughtUp, onFailure: func() { e.election.resetTimeout(clock.BootMs()) }}
	e.operator = &topicReader{topic: platform.TopicOperator, store: e.store, log: log, apply: e.applyOperator}
	e.sides = &topicReader{topic: work.TopicSides, store: e.store, log: log, apply: e.applySides}
	e.peers = &topicReader{topic: work.TopicEntries, store: e.store, log: log, batchPause: peersReadPause, apply: e.applyPeers}
	public.NoRoute(e.servePublic)
	ready.GET(platform.ReadyPath, e.serveReady)
	return e, nil
}

// bodyLimit returns the limit on bodies of the configuration in force; its default before one is known or if it has none.
func bodyLimit(config *atomic.Pointer[work.Config]) func() int {
	return func() int {
		if cfg := config.Load(); cfg != nil && cfg.MaxBody > 0 {
			return cfg.MaxBody
		}
		return httpserver.MaxBody
	}
}

// logPanic logs the panic of a request's handler.
func logPanic(log logevent.Logger, v any, stack []byte) {
	log.Log(logevent.HandlerPanicked, logevent.Str("reason", fmt.Sprint(v)), logevent.Str("stack", string(stack)))
}

// Run serves until ctx ends, and then until requests in progress have completed.
func (e *Entry) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, r := range []*topicReader{e.operator, e.schedule, e.jobs, e.peers} {
		go r.run(run)
	}
	go e.servePeers(run)
	go work.Publish(run, e.store, work.TopicEntries, work.ProcessAddress{Instance: e.set.Instance, Address: e.set.PeerAddress(e.peer.Addr()), Zone: e.set.Zone, Cores: e.set.Cores}, e.log)
	go e.runElection(run)
	failed := make(chan error, 2)
	go func() { failed <- e.public.Serve(run, e.set.Bounds.Grace) }()
	go func() { failed <- e.ready.Serve(run, 0) }()
	e.log.Log(logevent.Started, logevent.Str("public", e.set.Public), logevent.Str("ready", e.set.Ready),
		logevent.Int("lease_ms", e.set.Bounds.Lease.Milliseconds()), logevent.Int("lead_ms", e.set.Bounds.AuthorityTimeout.Milliseconds()))
	select {
	case err := <-failed:
		return fmt.Errorf("run the entry: %w", err)
	case <-ctx.Done():
	}
	e.stop()
	return nil
}

// stop reports not ready, resigns as the decider, and waits for requests in progress and for those that still arrive.
func (e *Entry) stop() {
	e.log.Log(logevent.Stopping, logevent.Int("in_progress", e.public.InProgress()))
	e.stopping.Store(true)
	e.resign()
	began := time.Now()
	limit := max(e.set.Bounds.Grace-stopMargin, notReadyPeriod)
	for time.Since(began) < notReadyPeriod || e.public.Pending() > 0 && time.Since(began) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	e.log.Log(logevent.Stopped, logevent.Int("in_progress", e.public.InProgress()))
}

// serveReady answers the readiness check of the load balancer.
func (e *Entry) serveReady(_ context.Context, c *app.RequestContext) {
	status := http.StatusOK
	if e.stopping.Load() || e.config.Load() == nil || e.operator.ageMs() > maxReadyAgeMs || !e.viewFresh() {
		status = http.StatusServiceUnavailable
	}
	c.SetStatusCode(status)
}

// applyOperator applies records that the operator wrote.
func (e *Entry) applyOperator(records []work.Record) {
	for _, r := range records {
		change, err := platform.DecodeOperatorRecord(r)
		if err != nil {
			e.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
			continue
		}
		switch ch := change.(type) {
		case work.ConfigChanged:
			if old := e.config.Load(); old != nil && old.Version >= ch.Config.Version {
				continue
			}
			e.config.Store(ch.Config)
			e.log.Log(logevent.ConfigInForce, logevent.Int("version", ch.Config.Version), logevent.Int("queues", len(ch.Config.Queues)))
		case work.ZoneEvacuated:
			e.mu.Lock()
			if ch.Evacuated {
				e.evacuated[ch.Zone] = true
			} else {
				delete(e.evacuated, ch.Zone)
			}
			e.mu.Unlock()
			e.log.Log(logevent.ZoneTakenOut, logevent.Str("zone", ch.Zone), logevent.Str("out", fmt.Sprint(ch.Evacuated)))
		case work.MaintenanceRequested:
			e.log.Log(logevent.WaveIgnored, logevent.Int("wave", ch.Number), logevent.Int("instances", len(ch.Instances)))
			continue
		case nil:
			continue
		}
		if d := e.currentDecider(); d != nil {
			d.operatorChanged(change)
		}
	}
}

// applySides applies addresses of side processes.
func (e *Entry) applySides(records []work.Record) {
	for _, a := range e.decodeAddresses(records) {
		e.mu.Lock()
		e.addresses[a.Instance] = a
		e.mu.Unlock()
		if d := e.currentDecider(); d != nil {
			d.sideAddressChanged(a)
		}
	}
}

// applyPeers applies addresses of other entries.
func (e *Entry) applyPeers(records []work.Record) {
	for _, a := range e.decodeAddresses(records) {
		e.relay.setPeer(a)
	}
}

// decodeAddresses returns the addresses in records; it logs those that cannot be decoded.
func (e *Entry) decodeAddresses(records []work.Record) []work.ProcessAddress {
	var list []work.ProcessAddress
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		var a work.ProcessAddress
		err := work.Decode(r.Value, &a)
		if err == nil && a.Instance != r.Key {
			err = errdefs.Field("instance", a.Instance, "publish an address under the name of its instance")
		}
		if err == nil {
			err = work.CheckAddress(&a)
		}
		if err != nil {
			e.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
			continue
		}
		list = append(list, a)
	}
	return list
}

// applySchedule applies records of the decider.
func (e *Entry) applySchedule(records []work.Record) {
	claim := e.view.applyProgress(records)
	if newDecider := e.election.observeRecords(clock.BootMs(), claim); newDecider {
		e.log.Log(logevent.OtherDecider, logevent.Str("entry", claim.Instance), logevent.Int("epoch", claim.Epoch))
	}
}

func (e *Entry) scheduleCaughtUp() { e.election.observeCaughtUp(clock.BootMs()) }

func (e *Entry) currentDecider() *decider {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decider
}
