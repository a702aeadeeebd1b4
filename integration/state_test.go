package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/standin"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// quickSettings shorten the time for which a new decider waits if the old witness is lost, and the interval of snapshots.
var quickSettings = []deploy.Setting{{Key: "times.authority_max", Value: "20s"}, {Key: "snapshots.every_records", Value: "40"}}

const batchJob = `{"id":%q,"kind":"batch","tasks":%d,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":%d,"checkpoint":true}`

func submitBatchJob(t *testing.T, e *deploy.Node, id string, tasks int, run time.Duration) {
	t.Helper()
	assert.Equal(t, submit(t, e, fmt.Sprintf(batchJob, id, tasks, run.Milliseconds())), 202)
}

// status returns the status of an entry.
func status(t *testing.T, e *deploy.Node) entry.Status {
	t.Helper()
	var s entry.Status
	if code, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("operator")+"/v1/status", nil, nil); err == nil && code == 200 {
		assert.NilError(t, json.Unmarshal(body, &s))
	}
	return s
}

// waitForDecider waits until an entry acts as decider and returns its index.
func waitForDecider(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	found := -1
	wait(t, "a decider", func() bool {
		for i, e := range d.Entries {
			if status(t, e).Acting {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// taskEvents returns the task events that a worker's stand-in recorded.
func taskEvents(t *testing.T, in *deploy.Instance) []standin.TaskEvent {
	t.Helper()
	var list []standin.TaskEvent
	_, body, err := deploy.Call(t.Context(), http.MethodGet, in.Worker.URL("http")+"/history", nil, nil)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(body, &list))
	return list
}

// appendWorkerEvents appends the worker and the events that its stand-in recorded to events.
func appendWorkerEvents(t *testing.T, in *deploy.Instance, origin time.Time, events []history.Event) []history.Event {
	t.Helper()
	events = append(events, history.Worker{ID: in.Side.Name, Zone: in.Side.Zone, Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 60_000}})
	for _, e := range taskEvents(t, in) {
		at := time.Unix(0, e.AtNs).Sub(origin)
		if e.Kind == "start" {
			events = append(events, history.AttemptStart{At: at, Task: e.Task, Attempt: e.Attempt, Worker: e.Worker, Size: e.Size})
		} else {
			events = append(events, history.AttemptEnd{At: at, Task: e.Task, Attempt: e.Attempt, Worker: e.Worker, Outcome: e.Outcome})
		}
	}
	return events
}

// checkTasks waits until the jobs have finished, and checks them and the histories of all workers together with the extra
// events.
func checkTasks(t *testing.T, d *deploy.Deployment, origin time.Time, extra []history.Event, jobs ...string) {
	t.Helper()
	events := extra
	for _, id := range jobs {
		wait(t, "job "+id, func() bool {
			a, ok := jobAccount(t.Context(), d.Entries[0], id)
			return ok && a.Job.State == "finished"
		})
		job := "hartwell/" + id
		events = append(events, history.JobAccepted{Job: job, Kind: record.BatchJob}, history.JobState{At: time.Since(origin), Job: job, State: history.JobFinished})
	}
	// The histories are read after the jobs have finished, as they would otherwise lack the ends of running attempts.
	for _, in := range d.Instances {
		events = appendWorkerEvents(t, in, origin, events)
	}
	v := history.Check(events)
	assert.Equal(t, len(v), 0, "%v", v)
}

func changeZone(t *testing.T, d *deploy.Deployment, i int, zone string, out bool, base uint64) (int, []byte) {
	t.Helper()
	return sendConfigChange(t, d, i, fmt.Sprintf(`{"base":%d,"zone":{"zone":%q,"out":%t}}`, base, zone, out))
}

// Guards against running tasks that are stopped by an outage of the log, against false answers during the outage, and
// against a decider that loses its authority then, so that a task runs twice.
func TestStateLogOutage(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
	publish(t, d)
	decider := waitForDecider(t, d)
	submitBatchJob(t, d.Entries[0], "through", 3, 20*time.Second)
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 1 })
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))

	assert.Equal(t, submit(t, d.Entries[1], fmt.Sprintf(batchJob, "refused", 1, 100)), 503)
	code, body := sendConfigChange(t, d, 1, `{"id":"c-down","zone":{"zone":"midshire-c","out":true}}`)
	assert.Equal(t, code, 503, string(body))
	assert.Assert(t, strings.Contains(string(body), `"not_run":true`), string(body))
	code, body, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[1].URL("operator")+"/v1/config/changes/c-down", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 503, "whether a change is on record is unknown during the outage: %s", body)
	// Without the witness, the leases of 10 s would expire during the outage.
	time.Sleep(12 * time.Second)
	assert.Assert(t, status(t, d.Entries[decider]).Acting, "the decider did not keep its authority through its witness")
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
	checkTasks(t, d, origin, nil, "through")
	a, _ := jobAccount(t.Context(), d.Entries[0], "through")
	for _, task := range a.Tasks {
		assert.Equal(t, task.Attempt, uint32(1), "%s was started more than once: %v", task.ID, task.History)
	}
}

// countRunningTasks returns the number of attempts that run on all workers together.
func countRunningTasks(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	n := 0
	for _, in := range d.Instances {
		for _, e := range appendWorkerEvents(t, in, time.Time{}, nil) {
			switch e.(type) {
			case history.AttemptStart:
				n++
			case history.AttemptEnd:
				n--
			}
		}
	}
	return n
}

// Guards against lost state, lost running tasks or queued jobs, and tasks that run twice, when all entries and side
// processes are killed at once, and again during recovery, after old records have expired.
func TestStateAllKilled(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) {
		o.EntrySettings = append(quickSettings[:1:1], deploy.Setting{Key: "snapshots.every_records", Value: "10"})
		o.Log.KeepRecords = 30
	})
	publish(t, d)
	submitBatchJob(t, d.Entries[0], "long", 3, 30*time.Second)
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 1 })
	// The log keeps 30 records, so that the first ones expire before the kill.
	wait(t, "old records to expire", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[0], "long")
		return ok && a.AsOf > 40
	})
	submitBatchJob(t, d.Entries[0], "queued", 2, 2*time.Second)
	for range 2 {
		killAll(t, d)
		for _, e := range d.Entries {
			assert.NilError(t, e.Start(t.Context()))
		}
		for _, in := range d.Instances {
			assert.NilError(t, in.Side.Start(t.Context()))
		}
	}
	for _, e := range d.Entries {
		assert.NilError(t, d.WaitHealthy(t.Context(), e))
	}
	checkTasks(t, d, origin, nil, "long", "queued")
}

func killAll(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	for _, e := range d.Entries {
		assert.NilError(t, e.Process().Kill())
	}
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Kill())
	}
}

// Guards against task starts in a zone that was taken out, also while the side process of a worker is paused, and against
// two conflicting changes that are both accepted.
func TestStateZoneOut(t *testing.T) {
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
	publish(t, d)
	for i := range 6 {
		submitBatchJob(t, d.Entries[i%3], fmt.Sprintf("j%d", i), 4, 1500*time.Millisecond)
	}
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 1 })
	assert.NilError(t, d.Instances[0].Side.Process().Pause())
	type answer struct {
		code int
		body []byte
	}
	answers := make(chan answer, 2)
	for i := range 2 {
		go func() {
			code, body, _ := deploy.Call(t.Context(), http.MethodPost, d.Entries[i].URL("operator")+"/v1/config", nil,
				[]byte(`{"zone":{"zone":"midshire-a","out":true}}`))
			answers <- answer{code, body}
		}()
	}
	a, b := <-answers, <-answers
	out := history.ZoneState{At: time.Since(origin), Zone: "midshire-a", Out: true}
	assert.Equal(t, min(a.code, b.code), 200)
	assert.Equal(t, max(a.code, b.code), 409, "%s %s", a.body, b.body)
	time.Sleep(time.Second)
	assert.NilError(t, d.Instances[0].Side.Process().Resume())
	jobs := []string{"j0", "j1", "j2", "j3", "j4", "j5"}
	checkTasks(t, d, origin, []history.Event{out}, jobs...)
	code, body := changeZone(t, d, 2, "midshire-a", false, 0)
	assert.Equal(t, code, 409, "the change has an old base revision: %s", body)
	code, body = changeZone(t, d, 2, "midshire-a", false, zoneRevision(t, d, "midshire-a"))
	assert.Equal(t, code, 200, string(body))
	var o struct{ Revision uint64 }
	assert.NilError(t, json.Unmarshal(body, &o))
	code, body, err := deploy.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s/v1/inforce?revision=%d&wait_ms=20000", d.Entries[1].URL("operator"), o.Revision), nil, nil)
	assert.NilError(t, err)
	assert.Assert(t, code == 200 && strings.Contains(string(body), `"everyone":true`), string(body))
}
