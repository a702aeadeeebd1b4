package entry

import (
	"context"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/stream"
)

// Waits of reads for new records. A read returns as soon as there is a record, so the wait bounds only how old the
// state's as-of time may get and how much later a dead connection is noticed.
const (
	// shortReadWait is the wait of the first read, of reads after a failure, and of reads of claims while there are
	// any.
	shortReadWait = 250 * time.Millisecond
	// claimIdleWait is the wait of reads of claims while there are none. The as-of time of claims is not used, since
	// the other streams show whether the log answers and a claim is read back before it counts. With 5 s the age in
	// log_read_age_seconds would exceed the alert threshold of docs/metrics.md in an idle region, and a dead connection
	// would be noticed after 6 s.
	claimIdleWait = 2 * time.Second
	// claimActiveWindow is how long reads of claims stay short after a claim of this entry.
	claimActiveWindow = 10 * time.Second
	// configIdleWait is the wait for configuration at entries other than the decider. A dead connection delays a change
	// by at most this and the timeout of a read.
	configIdleWait = time.Second
)

// pacedReader sets the waits of the reads of one stream.
type pacedReader struct {
	external.Log
	// longestWait is the wait that the follower assumes for its timeout, idleWait the wait of the next read if nothing
	// is urgent.
	longestWait time.Duration
	idleWait    func() time.Duration
	// maxTotal bounds the sum of a read's wait and the log's own delay; nil or 0 for no bound.
	maxTotal func() time.Duration

	mu sync.Mutex
	// lastReadOK is true if the newest read succeeded.
	lastReadOK bool
	busyUntil  time.Time
	// overrun is how much longer than its wait the newest read without records took.
	overrun time.Duration
	// interrupt ends the wait of the read in progress; nil if that wait is short.
	interrupt context.CancelFunc
}

// newPacedReader returns the reader of a stream. The decider dates its permits by its read of config, and entries claim
// and decide only by a read of the region's stream that is younger than a third of the authority's TTL. So two waits
// and two round trips have to fit into the freshness of the configuration, and one wait and a round trip into that
// third.
func (e *Entry) newPacedReader(kind core.Stream) *pacedReader {
	r := &pacedReader{Log: e.platform}
	switch kind {
	case core.ConfigStream:
		deciderWait := min(400*time.Millisecond, e.set.Decider.ConfigFreshness*2/5)
		r.longestWait = configIdleWait
		r.maxTotal = func() time.Duration {
			if e.isDecider() {
				return e.set.Decider.ConfigFreshness * 9 / 20
			}
			return 0
		}
		r.idleWait = func() time.Duration {
			if e.isDecider() {
				return deciderWait
			}
			return configIdleWait
		}
	case core.RegionStream:
		// The decider writes at least every 500 ms, so that most waits end with a record.
		wait := min(600*time.Millisecond, e.set.Authority.TTL/5)
		r.longestWait, r.idleWait = wait, func() time.Duration { return wait }
		r.maxTotal = func() time.Duration { return e.set.Authority.TTL * 3 / 10 }
	case core.ClaimStream:
		r.longestWait, r.idleWait = claimIdleWait, func() time.Duration { return claimIdleWait }
	}
	return r
}

// followOptions returns the options for following the stream.
func (r *pacedReader) followOptions() stream.FollowOptions {
	opts := stream.DefaultFollowOptions()
	opts.Wait = max(r.longestWait, shortReadWait)
	return opts
}

// expedite shortens reads for a while and ends the wait of the one in progress, whose connection may also be dead.
func (r *pacedReader) expedite(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(d); until.After(r.busyUntil) {
		r.busyUntil = until
	}
	if r.interrupt != nil {
		r.interrupt()
		r.interrupt = nil
	}
}

// boundedWait reduces the wait by the delay of a slow log, so that the as-of time of the state stays recent enough to
// decide by. With a log that takes 200 ms a call and the full wait the decider would permit no starts for a third of
// the time, and with 700 ms none at all.
func (r *pacedReader) boundedWait() time.Duration {
	if r.maxTotal == nil || r.maxTotal() == 0 {
		return r.longestWait
	}
	limit := r.maxTotal()
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, limit-r.overrun)
}

// Read implements external.Log. It replaces the requested wait by its own.
func (r *pacedReader) Read(ctx context.Context, name string, from uint64, limit int, _ time.Duration) (external.Page, error) {
	wait := r.idleWait()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	bound := r.boundedWait()
	r.mu.Lock()
	wait = min(wait, bound)
	if !r.lastReadOK || time.Now().Before(r.busyUntil) {
		wait = min(wait, shortReadWait)
	} else if wait > shortReadWait {
		r.interrupt = cancel
	}
	r.mu.Unlock()
	// The follower derives its deadline from longestWait.
	if deadline, ok := ctx.Deadline(); ok {
		var stop context.CancelFunc
		waitCtx, stop = context.WithDeadline(waitCtx, deadline.Add(wait-max(r.longestWait, shortReadWait)))
		defer stop()
	}
	sent := time.Now()
	page, err := r.Log.Read(waitCtx, name, from, limit, wait)
	r.mu.Lock()
	r.interrupt = nil
	if err == nil && len(page.Entries) == 0 {
		r.overrun = max(0, time.Since(sent)-wait)
	}
	r.mu.Unlock()
	if err != nil && waitCtx.Err() == context.Canceled && ctx.Err() == nil {
		page, err = r.Log.Read(ctx, name, from, limit, 0)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReadOK = err == nil
	return page, err
}
