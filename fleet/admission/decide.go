package admission

import (
	"fmt"
	"hash/fnv"
	"math"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// MaxAgeMs is the age in milliseconds up to which a backlog is used. The decider publishes it at least once a second, and
	// a burst that ends frees the capacity within seconds.
	MaxAgeMs = 2000
	// lateFactor times its objective is the time after which a job is of no use to its caller.
	lateFactor = 3
	// trustedShare is the part of the expected wait that has to suffice for a refusal: declared durations and measured
	// capacity are off by up to half.
	trustedShare = 0.5
	// defaultStepMs is the assumed duration in milliseconds of a step that declares none, as in the scheduler.
	defaultStepMs = 1000
)

const (
	// minRetryS and maxRetryS bound Retry-After in seconds.
	minRetryS = 1
	maxRetryS = 30
	// maxBaseS bounds the expected time in seconds until the job would be in time, to which the spread is added: callers
	// return up to 4 times, and the backlog may fall faster than it did.
	maxBaseS = 20
	// minSpreadS is the minimum range of the spread in seconds, so that whole seconds have three values.
	minSpreadS = 2
	// defaultFall is the fall of the wait in milliseconds per second that is assumed while it is unknown or the wait grows. A
	// wait falls by 1,000 if nothing is accepted.
	defaultFall = 500
	// minFall and maxFall bound the measured fall, which varies with single jobs.
	minFall = 100
	maxFall = 4000
)

// Decision tells whether a submission is accepted.
type Decision struct {
	Refused bool
	// RetryAfterS is when the caller may retry, in whole seconds from 1 to 30; 0 if the job is accepted.
	RetryAfterS int
	// Reason explains a refusal to the caller in a sentence with its inputs.
	Reason string
	// Row is the row of the backlog that decided; the zero Row if there is none.
	Row Row
	// ChainMs is the shortest duration of the job, LimitMs three times its objective, AgeMs the age of the backlog, all in
	// milliseconds.
	ChainMs, LimitMs, AgeMs int64
}

// Decide decides on a new job of a queue by a backlog of the given age in milliseconds. The backlog is nil if none is known.
// A job is refused only if it would end after three times its objective even if half of the expected wait were wrong. The
// size of a job counts only by its shortest duration, which its objective follows: wide jobs are not refused for their width.
func Decide(b *Backlog, job *work.Job, q *work.Queue, ageMs int64) Decision {
	d := Decision{AgeMs: ageMs}
	if b == nil || ageMs < 0 || ageMs > MaxAgeMs || job.LongRunning() || job.Repeat > 0 || job.StartAtMs > 0 {
		return d
	}
	d.Row = longestWait(b, job, q)
	d.ChainMs = chain(job)
	limit := lateFactor * (q.Stretch*float64(d.ChainMs) + float64(q.TargetMs))
	if !(limit > float64(d.ChainMs)) || limit > math.MaxInt32*1000 {
		// There is no objective, or the job cannot end in time without any wait either: a retry would change nothing.
		return d
	}
	d.LimitMs = int64(limit)
	tolerableMs := int64(float64(d.LimitMs-d.ChainMs) / trustedShare)
	if d.Row.WaitMs <= tolerableMs {
		return d
	}
	d.Refused = true
	d.RetryAfterS = retryAfter(d.Row.WaitMs-tolerableMs, d.Row.FallMsPerS, job.ID)
	d.Reason = fmt.Sprintf("too much accepted work waits: new %s work of priority %d is expected to wait %d ms and this job takes %d ms, "+
		"so that it would end after %d ms, three times its objective, even if the wait were half as long; come back after the time given",
		d.Row.Capacity(), q.Priority, d.Row.WaitMs, d.ChainMs, d.LimitMs)
	return d
}

// Capacity names the kind of capacity of a row.
func (r *Row) Capacity() string {
	if r.BestEffort {
		return "best-effort"
	}
	return "reserved"
}

// longestWait returns the row with the longest wait among those of the kinds of capacity that the job uses.
func longestWait(b *Backlog, job *work.Job, q *work.Queue) Row {
	longest := Row{}
	for i := range job.Steps {
		if r, ok := b.Wait(q.Service, q.Priority, job.Steps[i].BestEffort); ok && r.WaitMs > longest.WaitMs {
			longest = r
		}
	}
	return longest
}

// chain returns the duration of the longest chain of dependent steps in milliseconds.
func chain(job *work.Job) int64 {
	ends := make([]int64, len(job.Steps))
	longest := int64(0)
	for i := range job.Steps {
		for _, d := range job.Steps[i].DependsOn {
			if d >= 0 && d < i {
				ends[i] = max(ends[i], ends[d])
			}
		}
		ms := job.Steps[i].EstMs
		if ms <= 0 {
			ms = defaultStepMs
		}
		ends[i] += ms
		longest = max(longest, ends[i])
	}
	return longest
}

// retryAfter returns Retry-After in whole seconds: the time until the wait has fallen by excessMs, and a spread of half of
// that by the id of the job, so that callers who wait for the same moment do not return together.
func retryAfter(excessMs, fallMsPerS int64, id string) int {
	fall := int64(defaultFall)
	if fallMsPerS > 0 {
		fall = min(max(fallMsPerS, minFall), maxFall)
	}
	base := min(max((excessMs+fall-1)/fall, minRetryS), maxBaseS)
	spread := max(base/2, minSpreadS)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(min(base+int64(h.Sum32())%(spread+1), maxRetryS))
}
