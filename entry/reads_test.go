package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/settings"
)

// emptyLog has no records, so its reads take their full wait. An unresponsive one never answers.
type emptyLog struct {
	external.Log
	waits        []time.Duration
	unresponsive bool
	// delay is added to every read.
	delay time.Duration
}

func (l *emptyLog) Read(ctx context.Context, _ string, _ uint64, _ int, wait time.Duration) (external.Page, error) {
	l.waits = append(l.waits, wait)
	if l.unresponsive {
		wait = time.Hour
	}
	select {
	case <-time.After(wait + l.delay):
		return external.Page{First: 1, Next: 1}, nil
	case <-ctx.Done():
		return external.Page{}, ctx.Err()
	}
}

func newEmptyLogReader(kind core.Stream) (*emptyLog, *pacedReader) {
	log := &emptyLog{}
	a := newActingEntry()
	a.set, a.platform = settings.DefaultEntry(), log
	return log, a.newPacedReader(kind)
}

func (r *pacedReader) readOnce(t *testing.T) (time.Duration, error) {
	t.Helper()
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), r.followOptions().Wait+r.followOptions().Timeout)
	defer cancel()
	_, err := r.Read(ctx, "s", 1, 1, r.followOptions().Wait)
	return time.Since(begin), err
}

// Guards against an entry that takes seconds to become ready, a claim that waits for a long read, and reads that stay
// frequent after the last claim.
func TestReadsOfClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, r := newEmptyLogReader(core.ClaimStream)
		for _, want := range []time.Duration{shortReadWait, claimIdleWait, claimIdleWait} {
			took, err := r.readOnce(t)
			assert.NilError(t, err)
			assert.Equal(t, took, want)
		}
		time.AfterFunc(time.Second, func() { r.expedite(claimActiveWindow) })
		took, err := r.readOnce(t)
		assert.NilError(t, err, "a claim ends the wait without a failure")
		assert.Equal(t, took, time.Second)
		for range 36 {
			_, err = r.readOnce(t)
			assert.NilError(t, err)
		}
		assert.Equal(t, log.waits[len(log.waits)-1], shortReadWait)
		time.Sleep(claimActiveWindow)
		took, err = r.readOnce(t)
		assert.NilError(t, err)
		assert.Equal(t, took, claimIdleWait)
	})
}

// Guards against a dead connection to the log that is noticed only after the longest wait, and against long waits
// before the log answers again.
func TestUnresponsiveReadTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for kind, want := range map[core.Stream]time.Duration{
			core.ConfigStream: 1400 * time.Millisecond, core.RegionStream: 1600 * time.Millisecond, core.ClaimStream: 3 * time.Second,
		} {
			log, r := newEmptyLogReader(kind)
			_, err := r.readOnce(t)
			assert.NilError(t, err)
			log.unresponsive = true
			took, err := r.readOnce(t)
			assert.Assert(t, err != nil)
			assert.Equal(t, took, want)
			took, err = r.readOnce(t)
			assert.Assert(t, err != nil)
			assert.Equal(t, took, shortReadWait+time.Second, "the next reads are short")
		}
	})
}

// Guards against a decider whose configuration is too old to permit starts although the log answers: with round trips
// of 90 ms its age never exceeds the freshness limit, also with a shorter limit in the settings.
func TestConfigStaysFreshAtDecider(t *testing.T) {
	const roundTrip = 90 * time.Millisecond
	for _, freshness := range []time.Duration{time.Second, 900 * time.Millisecond} {
		a := newActingEntry()
		a.set = settings.DefaultEntry()
		a.set.Decider.ConfigFreshness = freshness
		r := a.newPacedReader(core.ConfigStream)
		assert.Assert(t, a.isDecider())
		assert.Assert(t, 2*r.idleWait()+2*roundTrip <= freshness)
	}
	set := settings.DefaultEntry()
	_, r := newEmptyLogReader(core.RegionStream)
	assert.Assert(t, r.idleWait()+roundTrip < set.Authority.TTL/3, "an entry could not claim")
}

// Guards against a decider that permits no starts for part of the time because the log is slow: the age of its
// configuration stays within the freshness limit until the next read ends.
func TestConfigStaysFreshWithSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 490 * time.Millisecond} {
			log := &emptyLog{delay: delay}
			a := newActingEntry()
			a.set, a.platform = settings.DefaultEntry(), log
			r := a.newPacedReader(core.ConfigStream)
			_, err := r.readOnce(t)
			assert.NilError(t, err)
			for range 4 {
				sent := time.Now()
				for range 2 {
					_, err = r.readOnce(t)
					assert.NilError(t, err)
				}
				assert.Assert(t, time.Since(sent) <= a.set.Decider.ConfigFreshness, "%v with a delay of %v", time.Since(sent), delay)
			}
		}
	})
}
