// Package entry runs the process that takes jobs of callers. It follows the store, and one entry at a time decides for all.
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
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// gatherJobs and gatherSchedule are pauses between reads of an entry that does not decide. They age what callers are
	// told by as much.
	gatherJobs     = 150 * time.Millisecond
	gatherSchedule = 150 * time.Millisecond
	// scheduleWait is how long a read of the schedule waits: its end without a record is how silence is noticed.
	scheduleWait = 300 * time.Millisecond
	// gatherPeers is the pause between reads of the entries' addresses, which change when one is replaced.
	gatherPeers = 2 * time.Second
	// readyAgeMs is the age of what is known of the store from which this entry wants no new callers.
	readyAgeMs = 3000
	// notReadyFor is how long an entry that stops goes on taking connections: the balancer needs two misses, one a second.
	notReadyFor = 2300 * time.Millisecond
	// stopMargin is taken off the time that the platform gives for a stop.
	stopMargin = 500 * time.Millisecond
)

// Entry is an entry process.
type Entry struct {
	set    settings.Fleet
	store  work.Store
	log    logevent.Logger
	meters *Meters
	public *httpserver.Server
	ready  *httpserver.Server

	// peer takes calls of other entries, relay calls the store directly or through them.
	peer  net.Listener
	relay *relay

	view   *view
	jobs   *follower
	sched  *follower
	op     *follower
	sides  *follower
	peers  *follower
	config atomic.Pointer[work.Config]
	// stopping is true once the process was told to end.
	stopping atomic.Bool

	// deciding is the epoch in which this entry decides, from its claim on; 0 if it does not.
	deciding atomic.Uint64
	election *election
	adviser  *platform.Adviser

	mu sync.Mutex
	// evacuated holds the availability zones that are out of service.
	evacuated map[string]bool
	// addresses holds the side processes by their instance.
	addresses map[string]work.SideAddress
	// decider is set while this entry decides.
	decider *decider
}

// New binds the listeners of an entry.
func New(set settings.Fleet, store work.Store, log logevent.Logger, m *Meters) (*Entry, error) {
	public, err := httpserver.Listen(set.Public)
	if err != nil {
		return nil, err
	}
	ready, err := httpserver.Listen(set.Ready)
	if err != nil {
		return nil, err
	}
	peer, err := net.Listen("tcp", set.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen for entries: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	r := newRelay(m.timed(store), set.Instance)
	e := &Entry{set: set, store: r, relay: r, peer: peer, log: log, meters: m, public: public, ready: ready, view: newView(log),
		evacuated: map[string]bool{}, addresses: map[string]work.SideAddress{}}
	if set.Adviser != "" {
		e.adviser = platform.NewAdviser(set.Adviser)
	}
	m.deciding.Store(&e.deciding)
	e.election = newElection(set)
	e.jobs = &follower{topic: work.TopicJobs, store: e.store, log: log, gather: gatherJobs, apply: e.view.applyJobs}
	e.sched = &follower{topic: work.TopicSchedule, store: e.store, log: log, gather: gatherSchedule, wait: scheduleWait, apply: e.applySchedule,
		quiet: e.scheduleQuiet, failed: func() { e.election.storeLost(clock.BootMs()) }}
	e.op = &follower{topic: platform.TopicOperator, store: e.store, log: log, apply: e.applyOperator}
	e.sides = &follower{topic: work.TopicSides, store: e.store, log: log, apply: e.applySides}
	e.peers = &follower{topic: work.TopicEntries, store: e.store, log: log, gather: gatherPeers, apply: e.applyPeers}
	public.NoRoute(e.servePublic)
	ready.GET(platform.ReadyPath, e.serveReady)
	return e, nil
}

// Run serves until ctx ends, and then until requests in progress have ended.
func (e *Entry) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, f := range []*follower{e.op, e.sched, e.jobs, e.peers} {
		go f.run(run)
	}
	go e.servePeers(run)
	go work.Publish(run, e.store, work.TopicEntries, work.SideAddress{Instance: e.set.Instance, Address: e.set.PeerAddress(e.peer.Addr()), Zone: e.set.Zone, Cores: e.set.Cores}, e.log)
	go e.elect(run)
	failed := make(chan error, 2)
	go func() { failed <- e.public.Serve(run, e.set.Bounds.Grace) }()
	go func() { failed <- e.ready.Serve(run, 0) }()
	e.log.Log(logevent.Started, logevent.Str("public", e.set.Public), logevent.Str("ready", e.set.Ready),
		logevent.Int("lease_ms", e.set.Bounds.Lease.Milliseconds()), logevent.Int("lead_ms", e.set.Bounds.Lead.Milliseconds()))
	select {
	case err := <-failed:
		return fmt.Errorf("run the entry: %w", err)
	case <-ctx.Done():
	}
	e.stop()
	return nil
}

// stop lets callers go elsewhere, gives up deciding, and waits for requests in progress.
func (e *Entry) stop() {
	e.log.Log(logevent.Stopping, logevent.Int("in_progress", e.public.InProgress()))
	e.stopping.Store(true)
	e.resign()
	began := time.Now()
	most := max(e.set.Bounds.Grace-stopMargin, notReadyFor)
	for time.Since(began) < notReadyFor || e.public.InProgress() > 0 && time.Since(began) < most {
		time.Sleep(50 * time.Millisecond)
	}
	e.log.Log(logevent.Stopped, logevent.Int("in_progress", e.public.InProgress()))
}

// serveReady tells the balancer whether this entry wants new callers.
func (e *Entry) serveReady(_ context.Context, c *app.RequestContext) {
	status := http.StatusOK
	if e.stopping.Load() || e.config.Load() == nil || e.op.ageMs() > readyAgeMs || e.jobs.ageMs() > readyAgeMs {
		status = http.StatusServiceUnavailable
	}
	c.SetStatusCode(status)
}

// applyOperator takes what the operator wrote.
func (e *Entry) applyOperator(records []work.Record) {
	for _, r := range records {
		change, err := platform.Operator(r)
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
		case work.WaveRequested:
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

// applySides takes addresses of side processes.
func (e *Entry) applySides(records []work.Record) {
	for _, a := range e.decodeAddresses(records) {
		e.mu.Lock()
		e.addresses[a.Instance] = a
		e.mu.Unlock()
		if d := e.currentDecider(); d != nil {
			d.sideAt(a)
		}
	}
}

// applyPeers takes addresses of other entries.
func (e *Entry) applyPeers(records []work.Record) {
	for _, a := range e.decodeAddresses(records) {
		e.relay.setPeer(a)
	}
}

// decodeAddresses returns the addresses in records; those that cannot be read are logged.
func (e *Entry) decodeAddresses(records []work.Record) []work.SideAddress {
	var list []work.SideAddress
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		var a work.SideAddress
		if err := work.Decode(r.Value, &a); err != nil || a.Instance != r.Key {
			e.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
			continue
		}
		list = append(list, a)
	}
	return list
}

// applySchedule takes records of the decider.
func (e *Entry) applySchedule(records []work.Record) {
	claim := e.view.applyProgress(records)
	if seen := e.election.records(clock.BootMs(), claim); seen {
		e.log.Log(logevent.DeciderSeen, logevent.Str("entry", claim.Instance), logevent.Int("epoch", claim.Epoch))
	}
}

func (e *Entry) scheduleQuiet() { e.election.quiet(clock.BootMs()) }

func (e *Entry) currentDecider() *decider {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decider
}
