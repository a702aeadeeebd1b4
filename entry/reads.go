package entry

import (
	"context"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/stream"
)

// Waits of reads for new records. A read returns as soon as there is one, so a wait bounds only how old the date of the
// state may be, and how long a connection that went silent is noticed later.
const (
	// busyWait is the wait of the first read, of reads after a failure, and of claims while there are any.
	busyWait = 250 * time.Millisecond
	// claimIdle is the wait for claims without any: their date is not used, since the log's health shows by the other
	// streams and a claim is read back before it counts. With 5 s the age in log_read_age_seconds would pass the alert of
	// docs/metrics.md in an idle region, and a silent connection would be noticed after 6 s.
	claimIdle = 2 * time.Second
	// claimBusy is how long after a claim of this entry the reads of claims are short.
	claimBusy = 10 * time.Second
	// configIdle is the wait for configuration at entries that do not decide. A silent connection delays a change by at
	// most this and the timeout of a read.
	configIdle = time.Second
)

// reads paces the reads of one stream.
type reads struct {
	external.Log
	// longest is the wait that the follower assumes for its timeout, idle the wait of the next read if nothing is urgent.
	longest time.Duration
	idle    func() time.Duration
	// most bounds the wait of a read together with what the log takes beyond it; nil or 0 for no bound.
	most func() time.Duration

	mu sync.Mutex
	// fine is true if the newest read succeeded.
	fine      bool
	busyUntil time.Time
	// lag is how much longer than its wait the newest read without records took.
	lag time.Duration
	// interrupt ends the wait of the read in progress; nil if it is short.
	interrupt context.CancelFunc
}

// pacedReads returns the reads of a stream. The decider dates its permits by config, and entries claim and decide by a read of
// the region's stream that is younger than a third of the evidence's life: two waits and two round trips have to pass
// within the freshness, and one wait and a round trip within that third.
func (e *Entry) pacedReads(kind core.Stream) *reads {
	r := &reads{Log: e.platform}
	switch kind {
	case core.ConfigStream:
		deciding := min(400*time.Millisecond, e.set.Decider.ConfigFreshness*2/5)
		r.longest = configIdle
		r.most = func() time.Duration {
			if e.isDecider() {
				return e.set.Decider.ConfigFreshness * 9 / 20
			}
			return 0
		}
		r.idle = func() time.Duration {
			if e.isDecider() {
				return deciding
			}
			return configIdle
		}
	case core.RegionStream:
		// The decider writes every 500 ms at least, so that most waits end with a record.
		wait := min(600*time.Millisecond, e.set.Authority.TTL/5)
		r.longest, r.idle = wait, func() time.Duration { return wait }
		r.most = func() time.Duration { return e.set.Authority.TTL * 3 / 10 }
	case core.ClaimStream:
		r.longest, r.idle = claimIdle, func() time.Duration { return claimIdle }
	}
	return r
}

// options returns how the stream is followed.
func (r *reads) options() stream.FollowOptions {
	opts := stream.DefaultFollowOptions()
	opts.Wait = max(r.longest, busyWait)
	return opts
}

// hurry makes reads short for a while and ends the wait of the one in progress, whose connection may also be silent.
func (r *reads) hurry(d time.Duration) {
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

// slowWait bounds the wait by how slow the log is, so that the date of the state stays young enough to act by. With a log
// that takes 200 ms a call and the full wait the decider would permit no starts for a third of the time, and with 700 ms
// none at all.
func (r *reads) slowWait() time.Duration {
	if r.most == nil || r.most() == 0 {
		return r.longest
	}
	most := r.most()
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, most-r.lag)
}

// Read implements external.Log. The wait asked for is replaced.
func (r *reads) Read(ctx context.Context, name string, from uint64, limit int, _ time.Duration) (external.Page, error) {
	wait := r.idle()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	slowest := r.slowWait()
	r.mu.Lock()
	wait = min(wait, slowest)
	if !r.fine || time.Now().Before(r.busyUntil) {
		wait = min(wait, busyWait)
	} else if wait > busyWait {
		r.interrupt = cancel
	}
	r.mu.Unlock()
	// The follower's timeout counts from its longest wait.
	if at, ok := ctx.Deadline(); ok {
		var stop context.CancelFunc
		waiting, stop = context.WithDeadline(waiting, at.Add(wait-max(r.longest, busyWait)))
		defer stop()
	}
	sent := time.Now()
	page, err := r.Log.Read(waiting, name, from, limit, wait)
	r.mu.Lock()
	r.interrupt = nil
	if err == nil && len(page.Entries) == 0 {
		r.lag = max(0, time.Since(sent)-wait)
	}
	r.mu.Unlock()
	if err != nil && waiting.Err() == context.Canceled && ctx.Err() == nil {
		page, err = r.Log.Read(ctx, name, from, limit, 0)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fine = err == nil
	return page, err
}
