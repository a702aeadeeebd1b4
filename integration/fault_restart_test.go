package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Guards against an entry that cannot start while the log is down, that answers then what it can't know, or that returns
// to an older state once the log answers again. One of its peers is cut off from the log, so that its state is older.
func TestEntryStartsWhileLogIsDown(t *testing.T) {
	t.Parallel()
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
	publish(t, d)
	e := d.Entries[2]
	submitBatchJob(t, d.Entries[0], "early", 1, 100*time.Millisecond)
	wait(t, "first job to finish at both peers", func() bool { return jobFinished(t, d.Entries[1], "early") && jobFinished(t, d.Entries[0], "early") })
	assert.NilError(t, e.Process().Kill())
	// The entry with index 1 no longer follows the log, so that its state is older than that of the entry with index 0.
	d.LogProxies[1].Cut()
	submitBatchJob(t, d.Entries[0], "later", 1, 100*time.Millisecond)
	wait(t, "later job to finish", func() bool { return jobFinished(t, d.Entries[0], "later") })
	code, body := changeZone(t, d, 0, "midshire-c", true, 0)
	assert.Equal(t, code, 200, string(body))
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
	before, _ := jobAccount(t.Context(), d.Entries[0], "later")
	revision := status(t, d.Entries[0]).Revision

	assert.NilError(t, e.Start(t.Context()))
	assert.NilError(t, d.WaitHealthy(t.Context(), e))
	wait(t, "routing", func() bool { return <-get(t, e, "/fitcheck/seat") == 200 })
	a, ok := jobAccount(t.Context(), e, "later")
	assert.Assert(t, ok && a.Job.State == "finished", "%+v", a)
	assert.Assert(t, a.AsOf >= before.AsOf, "the state was taken from offset %d, although a peer is at %d", a.AsOf, before.AsOf)
	assert.Assert(t, a.AgeMs > 0, "the account does not say how old it may be")
	assert.Equal(t, status(t, e).Revision, revision)
	code, _, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/v1/jobs/none", auth, nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 503, "whether a job is on record is unknown during the outage")
	assert.Equal(t, submit(t, e, fmt.Sprintf(batchJob, "refused", 1, 100)), 503)

	stop := pollState(t, e, "later")
	d.LogProxies[1].Restore()
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
	wait(t, "jobs to be accepted again", func() bool { return submit(t, e, fmt.Sprintf(batchJob, "after", 1, 100)) == 202 })
	for _, n := range d.Entries {
		wait(t, "new job at "+n.Name, func() bool { return jobFinished(t, n, "after") })
		wait(t, "newest configuration at "+n.Name, func() bool { return status(t, n).Revision == revision })
	}
	for _, v := range history.Check(stop()) {
		t.Error(v)
	}
}

func jobFinished(t *testing.T, e *deploy.Node, job string) bool {
	t.Helper()
	a, ok := jobAccount(t.Context(), e, job)
	return ok && a.Job.State == "finished"
}

// pollState polls the offset and the revision of an entry until the returned function is called, which returns the
// revisions observed. The offset of the region's stream must never decrease; history.Check checks the revisions.
func pollState(t *testing.T, e *deploy.Node, job string) (stop func() []history.Event) {
	done, result := make(chan struct{}), make(chan []history.Event, 1)
	go func() {
		var observed []history.Event
		var offset uint64
		for begin := time.Now(); ; {
			if s, ok := tryStatus(t, e); ok {
				observed = append(observed, history.RevisionReported{At: time.Since(begin), Process: e.Name, Revision: s.Revision})
			}
			if a, ok := jobAccount(t.Context(), e, job); ok {
				if a.AsOf < offset || a.Job.State != "finished" {
					t.Errorf("state at offset %d (%s) after offset %d", a.AsOf, a.Job.State, offset)
				}
				offset = a.AsOf
			}
			select {
			case <-time.After(5 * time.Millisecond):
			case <-done:
				result <- observed
				return
			}
		}
	}()
	return func() []history.Event {
		close(done)
		return <-result
	}
}

// Guards against work that is lost or runs twice when all processes are killed at once together with the workers, so that
// every running attempt is lost: all jobs must be recovered from the log, and each must be listed once.
func TestAllKilledWithWorkers(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) {
		o.EntrySettings = append(quickSettings[:1:1], deploy.Setting{Key: "snapshots.every_records", Value: "10"}, deploy.Setting{Key: "times.task_lease", Value: "6s"}, deploy.Setting{Key: "times.poll_every", Value: "2s"})
		o.Log.KeepRecords = 40
	})
	publish(t, d)
	submitBatchJob(t, d.Entries[0], "done", 3, 100*time.Millisecond)
	wait(t, "first job to finish", func() bool { return jobFinished(t, d.Entries[0], "done") })
	submitBatchJob(t, d.Entries[0], "running", 6, 5*time.Second)
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 6 })
	submitBatchJob(t, d.Entries[1], "queued", 60, 500*time.Millisecond)
	// The log keeps 40 records, so that the first ones expire before the kill.
	wait(t, "old records to expire", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[0], "running")
		return ok && a.AsOf > 50
	})
	var seen []history.Event
	for range 2 {
		seen = killWithWorkers(t, d, origin, seen)
		startAll(t, d)
	}
	for _, e := range d.Entries {
		assert.NilError(t, d.WaitHealthy(t.Context(), e))
	}
	checkTasks(t, d, origin, seen, "done", "running", "queued")
	checkJobList(t, d, map[string]int{"hartwell/done": 3, "hartwell/running": 6, "hartwell/queued": 60})
}

// killWithWorkers kills all processes but the log and appends the histories of the workers to events. Attempts that were
// running get an end with the outcome LeaseExpired.
func killWithWorkers(t *testing.T, d *deploy.Deployment, origin time.Time, events []history.Event) []history.Event {
	t.Helper()
	// The side processes are paused first, so that no start reaches a worker after its history was read.
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Pause())
	}
	type run struct {
		task    string
		attempt uint32
		worker  string
	}
	running := make(map[run]bool)
	for _, in := range d.Instances {
		for _, e := range appendWorkerEvents(t, in, origin, nil) {
			switch e := e.(type) {
			case history.AttemptStart:
				running[run{e.Task, e.Attempt, e.Worker}] = true
			case history.AttemptEnd:
				delete(running, run{e.Task, e.Attempt, e.Worker})
			}
			events = append(events, e)
		}
	}
	for _, in := range d.Instances {
		assert.NilError(t, in.Worker.Process().Kill())
	}
	killAll(t, d)
	for r := range running {
		events = append(events, history.AttemptEnd{At: time.Since(origin), Task: r.task, Attempt: r.attempt, Worker: r.worker, Outcome: record.LeaseExpired})
	}
	return events
}

// startAll restarts the workers, the entries and the side processes.
func startAll(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	for _, in := range d.Instances {
		assert.NilError(t, in.Worker.Start(t.Context()))
	}
	for _, e := range d.Entries {
		assert.NilError(t, e.Start(t.Context()))
	}
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Start(t.Context()))
	}
}

// checkJobList checks that every entry lists exactly the wanted jobs, each once and with the given number of tasks.
func checkJobList(t *testing.T, d *deploy.Deployment, want map[string]int) {
	t.Helper()
	for _, e := range d.Entries {
		_, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/v1/jobs", auth, nil)
		assert.NilError(t, err)
		var list []struct {
			ID    string
			Tasks int
		}
		assert.NilError(t, json.Unmarshal(body, &list))
		got := make(map[string]int)
		for _, j := range list {
			got[j.ID] += j.Tasks
		}
		assert.DeepEqual(t, got, want)
		assert.Equal(t, len(list), len(want))
	}
}
