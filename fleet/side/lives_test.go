package side

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

// heartbeats sends heartbeats of an incarnation from a sequence number on until a report fits.
func (r *testSide) heartbeats(incarnation link.Incarnation, seq int64, what string, fits func(*link.Report) bool) {
	r.t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); seq++ {
		r.register(incarnation, seq, false)
		time.Sleep(100 * time.Millisecond)
		r.mu.Lock()
		fit := len(r.reports) > 0 && fits(&r.reports[len(r.reports)-1])
		r.mu.Unlock()
		if fit {
			return
		}
	}
	r.t.Fatalf("no report %s", what)
}

// Guards against a worker that gets no work for good because the message by which its earlier life left arrived late (review/9, LOST), and
// against one that leaves and is taken for a worker that goes on.
func TestLateLeaveOfEarlierLifeEnds(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	r.restartWorker(next.StartedMs)
	r.register(next, 1, false)
	r.await("of the next life", func(rep *link.Report) bool {
		return rep.Listed && rep.Worker != nil && rep.Worker.Incarnation == next
	})
	r.side.handleLeave(next.ID)
	r.await("that it leaves", func(rep *link.Report) bool { return rep.Leaving })
	r.register(next, 2, false)
	r.mu.Lock()
	assert.Assert(t, r.reports[len(r.reports)-1].Leaving, "a heartbeat that may have been sent before the message took it back")
	r.mu.Unlock()
	r.heartbeats(next, 3, "that it goes on", func(rep *link.Report) bool { return !rep.Leaving })

	r.side.handleLeave(next.ID)
	r.worker.Lock()
	r.worker.Hang = true
	r.worker.Unlock()
	for seq := range int64(15) {
		r.register(next, 1000+seq, false)
		time.Sleep(100 * time.Millisecond)
	}
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	assert.Assert(t, r.side.incarnation.leaving, "late heartbeats of a worker that answers nothing took its leave back")
}

// Guards against a life of a worker that is ignored for good as its start is earlier than that of the life before (review-2 born, LOST: the
// time of day had jumped back), and against heartbeats of the earlier life that arrive late and are taken for a new one.
func TestLifeWithEarlierStartIsRecognized(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed })
	earlier := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs - 500}
	r.register(earlier, 90, false)
	r.side.mu.Lock()
	assert.Equal(t, r.side.incarnation.info.Incarnation, r.incarnation, "a late heartbeat replaced the life that answers")
	r.side.mu.Unlock()
	r.restartWorker(earlier.StartedMs)
	of := func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == earlier }
	r.heartbeats(earlier, 1, "of the present life", of)
	r.register(r.incarnation, 50, false)
	r.heartbeats(earlier, 1000, "after a late heartbeat of the life before", of)
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	assert.Equal(t, r.side.incarnation.info.Incarnation, earlier)
	assert.Equal(t, len(r.side.superseded), 1)
}

// lifeMessage is a message of one life of a worker: a heartbeat, or that it leaves.
type lifeMessage struct {
	life     link.Incarnation
	seq      int64
	draining bool
	leave    bool
}

func (r *testSide) deliver(m lifeMessage) {
	if m.leave {
		r.side.handleLeave(m.life.ID)
		return
	}
	r.register(m.life, m.seq, m.draining)
}

// Guards against a side process that stays with an earlier life of its worker, or takes the present one for leaving, whatever arrives late,
// twice or out of order of three lives of one id, with clocks that jump either way between them: once the last life has been heard the
// reports show it as it is.
func TestNewestOfThreeLivesIsReported(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			r := newTestSide(t)
			r.connect(1)
			starts := rng.Perm(3)
			var late []lifeMessage
			var last link.Incarnation
			for n, start := range starts {
				last = link.Incarnation{ID: "i-1", StartedMs: 100_000 + 1000*int64(start)}
				r.restartWorker(last.StartedMs)
				if n == len(starts)-1 {
					break
				}
				heard := rng.IntN(3) > 0 // else its messages all come late
				for seq := range int64(3 + rng.IntN(4)) {
					m := lifeMessage{life: last, seq: seq + 1, draining: seq > 3}
					late = append(late, m)
					if heard {
						r.deliver(m)
						time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
					}
				}
				late = append(late, lifeMessage{life: last, leave: true})
			}
			seq := int64(0)
			for range 3 * len(late) {
				r.deliver(late[rng.IntN(len(late))])
				if rng.IntN(3) == 0 {
					seq++
					r.register(last, seq, false)
				}
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
			r.heartbeats(last, seq+1, fmt.Sprintf("of the last of the lives %v as ready", starts), func(rep *link.Report) bool {
				return rep.Worker != nil && rep.Worker.Incarnation == last && !rep.Worker.Draining && !rep.Leaving
			})
		})
	}
}

// postLate sends a call to the worker, as one that was sent earlier and is carried out late.
func (r *testSide) postLate(path, body string) {
	r.t.Helper()
	resp, err := http.Post(r.server.URL+path, "application/json", strings.NewReader(body))
	assert.NilError(r.t, err)
	assert.NilError(r.t, resp.Body.Close())
	assert.Equal(r.t, resp.StatusCode, http.StatusOK)
}

// Guards against a task that runs on two workers (issue 45, TWICE): calls that were meant for the earlier life of a worker give its next
// life, whose clock starts anew, the longest lease there is. It holds for all that is started later, although nothing ran when the life was
// first listed, and the decider must not take the runs for ended before.
func TestLeaseFromCallsToEarlierLifeCoversLaterRuns(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.AdvanceClock(time.Hour)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	r.side.mu.Lock()
	deadline := r.side.incarnation.workerClock(clock.BootMs()) + r.side.set.Bounds.Lease.Milliseconds()
	r.side.mu.Unlock()
	worker := r.restartWorker(next.StartedMs)
	r.postLate(platformtest.PathList, platformtest.ListCallBody(deadline, 1<<16, 0))
	maxLease := r.side.set.Bounds.MaxLease
	assert.Assert(t, worker.LeaseLeft() > maxLease-time.Second, "no call for the earlier life has set the lease of the next one, which has %s left", worker.LeaseLeft())
	r.register(next, 1, false)
	const raised = 1<<16 + 1
	r.order(link.Orders{Fence: raised})
	r.await("with an empty list under the raised fence", func(rep *link.Report) bool {
		return rep.Listed && rep.Complete && rep.Fence == raised && rep.Worker.Incarnation == next
	})
	r.order(link.Orders{Number: 1, Fence: raised, Incarnation: next, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 })
	_ = r.conn.Close()
	for worker.LeaseLeft() > 0 {
		runsUntil := time.Now().Add(worker.LeaseLeft())
		r.side.mu.Lock()
		bound := time.Now().Add(time.Duration(r.side.leaseLeft(clock.BootMs())) * time.Millisecond)
		r.side.mu.Unlock()
		assert.Assert(t, !runsUntil.After(bound), "runs last %s longer than the side process tells the decider", runsUntil.Sub(bound))
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against the next life of a worker that carries out orders, or gets a lease, which were meant for the life before: until its first
// heartbeat the decider still gives orders for that one, and only the id is the same (issue 45). It may be of another kind.
func TestNextLifeGetsNoOrdersOfTheLifeBefore(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.AdvanceClock(time.Hour)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	const other, running = "0011223344556677.0.0.1", "0011223344556677.0.0.2"
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: other, Run: 1}, {Task: running, Run: 1, CPUPercent: 70}}})
	r.await("with the runs", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 2 && rep.OrdersDone >= 1 })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	worker := r.restartWorker(next.StartedMs)
	// An order whose connection ends while it is sent has no answer and is not refused. There are up to maxCalls such connections.
	starts := []link.Start{{Task: task, Run: 1}}
	for i := range maxCalls + 1 {
		starts = append(starts, link.Start{Task: fmt.Sprintf("0011223344556677.0.1.%d", i), Run: 1})
	}
	r.order(link.Orders{Number: 2, Fence: 1 << 16, Incarnation: r.incarnation, Starts: starts,
		Stops: []link.Stop{{Task: other, Run: 1}}, Throttles: []link.Throttle{{Task: running, Run: 1, CPUPercent: 50}}})
	refused := r.await("that a start was refused", func(rep *link.Report) bool { return len(rep.Refusals) > 0 })
	for _, f := range refused.Refusals {
		assert.Check(t, slices.ContainsFunc(starts, func(s link.Start) bool { return s.Task == f.Task }), "%s", f.Task)
		assert.Equal(t, f.Reason, link.ReasonTerminated)
	}
	lists := func() int {
		worker.Lock()
		defer worker.Unlock()
		n := 0
		for _, path := range worker.Calls {
			if path == platformtest.PathList {
				n++
			}
		}
		return n
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := lists(); n < 12 {
			return poll.Continue("%d list calls", n)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	worker.Lock()
	for _, path := range worker.Calls {
		assert.Check(t, path == platformtest.PathList, "the next life got an order: %s", path)
	}
	assert.Equal(t, len(worker.Running), 0)
	worker.Unlock()
	assert.Equal(t, worker.LeaseLeft(), time.Duration(0), "a list call gave the next life a lease")

	r.register(next, 1, false)
	r.await("with all orders done", func(rep *link.Report) bool {
		return rep.Listed && rep.OrdersDone >= 2 && rep.Worker.Incarnation == next
	})
	r.order(link.Orders{Number: 3, Fence: 1<<16 + 1, Incarnation: next, Starts: []link.Start{{Task: task, Run: 2}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 && rep.Runs[0].Run == 2 })
	worker.Lock()
	defer worker.Unlock()
	assert.Assert(t, slices.Contains(worker.Calls, platformtest.PathStart))
}

// Guards against an end that no decider learns of, so that its task is started again (TWICE): a list call for the earlier life of the
// worker, which lets it forget ends that were stored, is executed late by the next life, whose ends have the same numbers.
func TestEndsThatALateCallForgotAreReported(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 })
	_ = r.conn.Close()
	r.worker.Finish(task, 1)
	lists := func() int {
		r.worker.Lock()
		defer r.worker.Unlock()
		return len(r.worker.Calls)
	}
	for from, until := lists(), time.Now().Add(30*time.Second); lists() < from+3; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the worker is not listed")
	}
	r.worker.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, platformtest.PathList, strings.NewReader(platformtest.ListCallBody(0, 1<<16, 1))))
	r.connect(2)
	rep := r.await("with the end", func(rep *link.Report) bool { return len(rep.Completions) > 0 })
	assert.DeepEqual(t, rep.Completions, []link.Completion{{Number: 1, Task: task, Run: 1, Outcome: link.Done}})
}

// Guards against list calls that let the next life of the worker forget ends which nobody has read (TWICE, soak seed 1015), as they name
// ends of this life long after it has forgotten them.
func TestForgottenEndsAreNamedOnce(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 })
	r.worker.Finish(task, 1)
	r.await("with the end", func(rep *link.Report) bool { return len(rep.Completions) == 1 })
	acknowledged := make(chan bool)
	r.worker.Lock()
	r.worker.OnAcknowledge = func(string, int, string, bool) { close(acknowledged) }
	r.worker.Unlock()
	r.order(link.Orders{Number: 2, Fence: 1 << 16, Incarnation: r.incarnation, Forget: 1})
	select {
	case <-acknowledged:
	case <-time.After(30 * time.Second):
		t.Fatal("the worker was not told to forget the end")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.worker.Lock()
		defer r.worker.Unlock()
		if r.worker.SeenUpto == 0 {
			return poll.Success()
		}
		return poll.Continue("the last list call names ends up to %d", r.worker.SeenUpto)
	}, poll.WithTimeout(30*time.Second))
}

// Guards against an end that no decider learns of (TWICE, soak seed 20261206506): the next life takes a start and forgets its end, on a call
// to the life before, until its first heartbeat arrives.
func TestEndsThatWereForgottenBeforeTheFirstHeartbeatAreReported(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	worker := r.restartWorker(next.StartedMs)
	late := func(path, body string) {
		worker.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	}
	late(platformtest.PathStart, fmt.Sprintf(`{"fence":65536,"task":%q,"run":1,"deadline_ms":2000000}`, task))
	worker.Finish(task, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if len(r.side.incarnation.otherLifeEnds) == 1 {
			return poll.Success()
		}
		return poll.Continue("the next life was not listed")
	}, poll.WithTimeout(30*time.Second))
	late(platformtest.PathList, platformtest.ListCallBody(0, 1<<16, 9))
	r.register(next, 1, false)
	rep := r.await("with the end", func(rep *link.Report) bool { return len(rep.Completions) > 0 })
	assert.Equal(t, rep.Worker.Incarnation, next)
	assert.DeepEqual(t, rep.Completions, []link.Completion{{Number: 1, Task: task, Run: 1, Outcome: link.Done}})
}
