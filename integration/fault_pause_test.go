package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// queryTimeout bounds a request to an entry that may be paused or killed.
const queryTimeout = 5 * time.Second

// tryStatus returns the status of an entry that may be paused or killed, and false if it did not answer.
func tryStatus(t *testing.T, e *deploy.Node) (entry.Status, bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), queryTimeout)
	defer cancel()
	var s entry.Status
	code, body, err := deploy.Call(ctx, http.MethodGet, e.URL("operator")+"/v1/status", nil, nil)
	return s, err == nil && code == 200 && json.Unmarshal(body, &s) == nil
}

// waitForSuccessor waits until an entry other than the excluded one is the decider in an epoch after afterEpoch, and
// returns its index and epoch. An excluded index of -1 allows all entries.
func waitForSuccessor(t *testing.T, d *deploy.Deployment, excluded int, afterEpoch uint64) (int, uint64) {
	t.Helper()
	found, epoch := -1, uint64(0)
	wait(t, "a new decider", func() bool {
		for i, e := range d.Entries {
			if i == excluded {
				continue
			}
			if s, ok := tryStatus(t, e); ok && s.Acting && s.Epoch > afterEpoch {
				found, epoch = i, s.Epoch
			}
		}
		return found >= 0
	})
	return found, epoch
}

// waitForAttempt waits until the given attempt of the job's only task has started, and returns the index of the instance
// that runs it. The account of the job is read from the entry with the given index.
func waitForAttempt(t *testing.T, d *deploy.Deployment, entryIndex int, job string, attempt uint32) int {
	t.Helper()
	found := -1
	wait(t, fmt.Sprintf("attempt %d of %s", attempt, job), func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[entryIndex], job)
		if !ok || a.Tasks[0].Attempt != attempt {
			return false
		}
		for i, in := range d.Instances {
			if in.Side.Name == a.Tasks[0].Worker && attemptStarted(t, in, a.Tasks[0].ID, attempt) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

func attemptStarted(t *testing.T, in *deploy.Instance, task string, attempt uint32) bool {
	t.Helper()
	for _, e := range taskEvents(t, in) {
		if e.Kind == "start" && e.Task == task && e.Attempt == attempt {
			return true
		}
	}
	return false
}

// Guards against a task that runs on two workers or loses its checkpoint when the side process of a worker, or the whole
// instance, is paused until the leases of its tasks expire and the decider places the tasks on other workers.
func TestWorkerPausedPastLease(t *testing.T) {
	for name, pauseWorker := range map[string]bool{"side process": false, "instance": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			origin := time.Now()
			d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
			publish(t, d)
			// A task whose estimated remaining time is below 30 s may finish in a zone that is taken out, so that it would
			// not be evicted.
			submitBatchJob(t, d.Entries[0], "routes", 1, 40*time.Second)
			first := waitForAttempt(t, d, 0, "routes", 1)
			// The eviction records a checkpoint.
			code, body := changeZone(t, d, 0, d.Instances[first].Side.Zone, true, 0)
			assert.Equal(t, code, 200, string(body))
			second := d.Instances[waitForAttempt(t, d, 0, "routes", 2)]
			nodes := []*deploy.Node{second.Side}
			if pauseWorker {
				nodes = append(nodes, second.Worker)
			}
			for _, n := range nodes {
				assert.NilError(t, n.Process().Pause())
			}
			third := d.Instances[waitForAttempt(t, d, 0, "routes", 3)]
			for _, n := range nodes {
				assert.NilError(t, n.Process().Resume())
			}
			assert.Assert(t, third != second)
			checkTasks(t, d, origin, nil, "routes")
			// The resumed side process reports that its attempt ended, and drops the attempt once the report is acknowledged.
			wait(t, "the resumed worker to have no attempts left", func() bool { return trackedAttempts(t, second) == 0 })
			checkpointMs, starts := int64(0), 0
			for _, in := range d.Instances {
				for _, e := range taskEvents(t, in) {
					switch {
					case e.Kind == "start":
						starts++
					case e.Outcome == record.Checkpointed:
						checkpointMs = e.ProgressMs
					}
				}
			}
			assert.Equal(t, starts, 3, "want one start each after the submission, the eviction and the pause")
			assert.Assert(t, checkpointMs > 0)
			for _, e := range taskEvents(t, third) {
				if e.Kind == "start" && e.Attempt == 3 {
					assert.Equal(t, e.ProgressMs, checkpointMs, "attempt 3 did not resume from the checkpoint")
				}
			}
		})
	}
}

// trackedAttempts returns the number of attempts that a worker keeps: those that run, and those that have ended but were
// not acknowledged.
func trackedAttempts(t *testing.T, in *deploy.Instance) int {
	t.Helper()
	var s struct {
		Tasks []json.RawMessage `json:"tasks"`
	}
	_, body, err := deploy.Call(t.Context(), http.MethodGet, in.Worker.URL("http")+"/status", nil, nil)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(body, &s))
	return len(s.Tasks)
}

// Guards against a decider that still acts after a pause in which its evidence of authority expired: by orders to workers,
// or by records that are applied after the claim of its successor. The test pauses the successor in turn.
func TestDeciderPausedPastEvidence(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	// The long lease keeps attempts from being lost when the test machine stalls, so that a second attempt is always a fault.
	lease := deploy.Setting{Key: "times.task_lease", Value: "2m"}
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = append(quickSettings[:2:2], lease) })
	publish(t, d)
	var jobs []string
	submitSome := func(entry int, tasks int, run time.Duration) {
		jobs = append(jobs, fmt.Sprintf("j%d", len(jobs)))
		submitBatchJob(t, d.Entries[entry], jobs[len(jobs)-1], tasks, run)
	}
	for range 2 {
		oldDecider := waitForDecider(t, d)
		oldEpoch := status(t, d.Entries[oldDecider]).Epoch
		other := (oldDecider + 1) % len(d.Entries)
		submitSome(other, 8, 6*time.Second)
		submitSome(oldDecider, 30, 500*time.Millisecond)
		process := d.Entries[oldDecider].Process()
		assert.NilError(t, process.Pause())
		submitSome(other, 4, time.Second)
		_, nextEpoch := waitForSuccessor(t, d, oldDecider, oldEpoch)
		// Evidence lasts 3 s and permits 1.5 s, so both have expired after this.
		time.Sleep(3500 * time.Millisecond)
		resumedAt := time.Now()
		assert.NilError(t, process.Resume())
		wait(t, "the resumed entry to know the new epoch", func() bool {
			s, ok := tryStatus(t, d.Entries[oldDecider])
			return ok && s.Epoch >= nextEpoch
		})
		submitSome(oldDecider, 4, 100*time.Millisecond)
		for _, in := range d.Instances {
			for _, e := range taskEvents(t, in) {
				late := e.Kind == "start" && e.Epoch <= oldEpoch && time.Unix(0, e.AtNs).After(resumedAt)
				assert.Assert(t, !late, "%s started by an order of epoch %d after the decider of that epoch was resumed", e.Task, e.Epoch)
			}
		}
		// One append may have been in flight when the process was paused. Its batch is void, because it follows the claim.
		assert.Assert(t, batchesAfter(t, d, oldEpoch, nextEpoch) <= 1)
	}
	checkTasks(t, d, origin, nil, jobs...)
	for _, id := range jobs {
		a, _ := jobAccount(t.Context(), d.Entries[0], id)
		for _, task := range a.Tasks {
			assert.Equal(t, task.Attempt, uint32(1), "%s was started more than once: %v", task.ID, task.History)
		}
	}
}

// batchesAfter counts the batches of decisions of an epoch that follow the given offset.
func batchesAfter(t *testing.T, d *deploy.Deployment, epoch, offset uint64) int {
	t.Helper()
	n := 0
	for _, r := range readRecords(t, d, "sched.midshire", offset+1) {
		if r.Batch != nil && r.Batch.Epoch == epoch {
			n++
		}
	}
	return n
}

// readRecords reads a stream of the log from the given offset to its end.
func readRecords(t *testing.T, d *deploy.Deployment, stream string, from uint64) []record.Record {
	t.Helper()
	client := logclient.New(d.LogNode.URL("http"))
	var list []record.Record
	for {
		page, err := client.Read(t.Context(), stream, from, 512, 0)
		assert.NilError(t, err)
		if len(page.Entries) == 0 {
			return list
		}
		for _, e := range page.Entries {
			r, err := record.Decode(e.Data)
			assert.NilError(t, err)
			list = append(list, *r)
			from = e.Offset + 1
		}
	}
}
