package entry

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/fleet/admission"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// knownCheckTimeout bounds the read of the store before a submission is refused because of the backlog. A submission whose
	// id cannot be checked by then is stored instead.
	knownCheckTimeout = 300 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines on such refusals: an overload causes some at once.
	refusalLogInterval = 200 * time.Millisecond
	// attemptTTLMs is how long an id counts as known at the entry that tried to store it. A store call that went without an
	// answer may still take effect within seconds, and callers retry for that long.
	attemptTTLMs = 30_000
)

// backlogView is the backlog that the decider published last.
type backlogView struct {
	log logevent.Logger

	mu sync.Mutex
	// backlog is nil if there is none or it cannot be read; stored is true if the store has a record, readable or not.
	backlog *admission.Backlog
	stored  bool
	// readMs is the boot time at which the record was read.
	readMs int64
	// unreadable is true if the newest record cannot be read. Only the first one of a series is logged.
	unreadable bool
}

// apply applies a record or a tombstone.
func (v *backlogView) apply(r work.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.backlog, v.stored, v.readMs = nil, len(r.Value) > 0, clock.BootMs()
	if !v.stored {
		v.unreadable = false
		return
	}
	b, err := admission.Decode(r.Value)
	if err != nil {
		if !v.unreadable {
			v.log.Log(logevent.RecordUnreadable, logevent.Str("key", r.Key), logevent.Err(err))
		}
		v.unreadable = true
		return
	}
	v.backlog, v.unreadable = b, false
}

// get returns the backlog and its age in milliseconds, or nil. The age is the larger one of the time since the record was
// read and the difference of the wall clocks: the record may have been old when it was read, and a wall clock may be wrong
// by seconds in either direction, in which case the record is not used.
func (v *backlogView) get() (*admission.Backlog, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.backlog == nil {
		return nil, 0
	}
	byWall := clock.WallMs() - v.backlog.ComputedMs
	return v.backlog, max(clock.BootMs()-v.readMs, byWall, -byWall)
}

// isStored reports whether the store has a record.
func (v *backlogView) isStored() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stored
}

// decideAdmission decides on a new submission by the published backlog.
func (e *Entry) decideAdmission(job *work.Job, q *work.Queue) admission.Decision {
	if e.set.Admission == settings.AdmissionOff {
		return admission.Decision{}
	}
	b, ageMs := e.view.backlog.get()
	return admission.Decide(b, job, q, ageMs)
}

// refreshKnown reads the jobs to their end before a submission is refused, and reports whether it may be refused: another
// entry may have accepted the id since this one has read the jobs, or an attempt of this entry to store it may still succeed,
// and a refusal tells the caller that the job never runs.
func (e *Entry) refreshKnown(ctx context.Context, id string) bool {
	if e.attempts.has(id, clock.BootMs()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, knownCheckTimeout)
	defer cancel()
	return e.jobs.refreshShared(ctx) == nil
}

// attemptList holds the ids that this entry has tried to store lately.
type attemptList struct {
	mu       sync.Mutex
	lastMs   map[string]int64
	purgedMs int64
	// running counts the attempts of an id that go on; unsure holds ids of which one has ended with an unknown outcome.
	running map[string]int
	unsure  map[string]bool
}

// begin adds an id whose submission an attempt is about to store.
func (l *attemptList) begin(id string, nowMs int64) {
	l.add(id, nowMs)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running, l.unsure = map[string]int{}, map[string]bool{}
	}
	l.running[id]++
}

// end records the outcome of an attempt. An id that was certainly never stored is removed.
func (l *attemptList) end(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[id]--; l.running[id] <= 0 {
		delete(l.running, id)
	}
	if err != nil && !work.NotAppended(err) {
		l.unsure[id] = true
	}
	if err != nil && l.running[id] == 0 && !l.unsure[id] {
		delete(l.lastMs, id)
	}
}

// add adds an id, and removes old ones from time to time.
func (l *attemptList) add(id string, nowMs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if nowMs-l.purgedMs >= attemptTTLMs {
		maps.DeleteFunc(l.lastMs, func(id string, at int64) bool { return nowMs-at >= attemptTTLMs && l.running[id] == 0 })
		maps.DeleteFunc(l.unsure, func(id string, _ bool) bool { _, ok := l.lastMs[id]; return !ok })
		l.purgedMs = nowMs
	}
	if l.lastMs == nil {
		l.lastMs = map[string]int64{}
	}
	l.lastMs[id] = nowMs
}

// has reports whether an id was added within attemptTTLMs.
func (l *attemptList) has(id string, nowMs int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.lastMs[id]
	return ok && nowMs-at < attemptTTLMs
}

// refuseAdmission responds to a submission that is refused because of the backlog.
func (e *Entry) refuseAdmission(c *app.RequestContext, id string, q *work.Queue, d *admission.Decision) {
	c.Response.Header.Set("Retry-After", strconv.Itoa(d.RetryAfterS))
	e.meters.refused.Add(1, d.Row.Capacity(), strconv.Itoa(q.Priority))
	if log, unlogged := e.refusalLog.next(time.Now()); log {
		e.log.Log(logevent.JobNotAdmitted, logevent.Str("job", id), logevent.Str("queue", q.Name), logevent.Int("priority", q.Priority),
			logevent.Str("capacity", d.Row.Capacity()), logevent.Int("wait_ms", d.Row.WaitMs), logevent.Int("chain_ms", d.ChainMs),
			logevent.Int("limit_ms", d.LimitMs), logevent.Int("age_ms", d.AgeMs), logevent.Int("retry_after_s", d.RetryAfterS),
			logevent.Int("unlogged", unlogged))
	}
	answer(c, http.StatusServiceUnavailable, platform.EncodeError(d.Reason))
}

// logLimit limits log lines to one per refusalLogInterval.
type logLimit struct {
	mu       sync.Mutex
	last     time.Time
	unlogged int
}

// next reports whether a line is written now, and how many were not since the one before.
func (l *logLimit) next(now time.Time) (ok bool, unlogged int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < refusalLogInterval {
		l.unlogged++
		return false, 0
	}
	unlogged = l.unlogged
	l.last, l.unlogged = now, 0
	return true, unlogged
}
