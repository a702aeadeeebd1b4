package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// callOutcome is what the answer to a submission or change says about it.
type callOutcome string

const (
	outcomeDone    callOutcome = "done"
	outcomeNotDone callOutcome = "not done"
	outcomeUnknown callOutcome = "unknown"
)

// parseOutcome parses the answer to a submission or a change. An answer that is not documented is an error.
func parseOutcome(status int, body []byte) (callOutcome, error) {
	var p httpserver.Problem
	_ = json.Unmarshal(body, &p)
	switch {
	case status == 200 || status == 202:
		return outcomeDone, nil
	case status == 503 && p.NotRun:
		return outcomeNotDone, nil
	case status == 502 && !p.NotRun && p.Outcome == "unknown" && p.OutcomePath != "":
		return outcomeUnknown, nil
	}
	return "", fmt.Errorf("status %d: %s", status, body)
}

// callOutcomes collects the outcomes of calls by the id of the job or change.
type callOutcomes struct {
	mu   sync.Mutex
	byID map[string]callOutcome
}

func (c *callOutcomes) send(t *testing.T, id, url string, header map[string]string, body string) {
	status, answer, err := deploy.Call(t.Context(), http.MethodPost, url, header, []byte(body))
	outcome := outcomeUnknown
	if err == nil {
		outcome, err = parseOutcome(status, answer)
	}
	if err != nil {
		t.Errorf("%s: %v", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id] = outcome
}

func (c *callOutcomes) count(want callOutcome) int {
	n := 0
	for _, s := range c.byID {
		if s == want {
			n++
		}
	}
	return n
}

// sendInterval is the pause of a sender between two calls.
const sendInterval = 100 * time.Millisecond

// Guards against jobs, decisions and changes that take effect twice, and against false answers, when replies of the log
// are lost after the append took effect: by an error of the log, and by a broken connection.
func TestLostRepliesOfLog(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
	publish(t, d)
	jobs, changes := callOutcomes{byID: map[string]callOutcome{}}, callOutcomes{byID: map[string]callOutcome{}}
	var senders sync.WaitGroup
	for i, e := range d.Entries {
		senders.Go(func() {
			for n := range 25 {
				id := fmt.Sprintf("j-%d-%d", i, n)
				time.Sleep(sendInterval)
				jobs.send(t, id, e.URL("public")+"/v1/jobs", auth, fmt.Sprintf(batchJob, id, 2, 300))
			}
		})
		senders.Go(func() {
			for n := range 25 {
				id := fmt.Sprintf("c-%d-%d", i, n)
				time.Sleep(sendInterval)
				// Each change has an endpoint of its own, so that no two changes conflict.
				changes.send(t, id, e.URL("operator")+"/v1/config", nil, fmt.Sprintf(`{"id":%q,"shutdown":{"endpoint":%q,"drain":true}}`, id, "none-"+id))
			}
		})
	}
	stop := injectLostReplies(t, d)
	senders.Wait()
	stop()
	t.Logf("jobs: %d done, %d not done, %d unknown", jobs.count(outcomeDone), jobs.count(outcomeNotDone), jobs.count(outcomeUnknown))
	t.Logf("changes: %d done, %d not done, %d unknown", changes.count(outcomeDone), changes.count(outcomeNotDone), changes.count(outcomeUnknown))
	assert.Assert(t, jobs.count(outcomeDone) > 0 && changes.count(outcomeDone) > 0)
	flushWriters(t, d)
	for _, stream := range []string{"config", "sched.midshire"} {
		assert.Assert(t, countRepeats(t, d, stream) > 0, "no record on %s was repeated, so no lost reply was tested", stream)
	}
	accepted := checkSubmissions(t, d, jobs.byID)
	checkAuditTrail(t, d, changes.byID)
	checkTasks(t, d, origin, nil, accepted...)
}

// flushWriters sends a job and a change through every entry and waits until all entries have applied them. As a writer
// keeps the order of its records, everything sent before through these entries is on record then or never will be.
func flushWriters(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	for i, e := range d.Entries {
		id := fmt.Sprintf("marker-%d", i)
		wait(t, "job through "+e.Name, func() bool { return submit(t, e, fmt.Sprintf(batchJob, id, 2, 100)) < 300 })
		wait(t, "change through "+e.Name, func() bool {
			status, _ := sendConfigChange(t, d, i, fmt.Sprintf(`{"id":%q,"shutdown":{"endpoint":%q,"drain":true}}`, id, "none-"+id))
			return status == 200
		})
	}
	for i := range d.Entries {
		for _, e := range d.Entries {
			wait(t, "markers at "+e.Name, func() bool {
				_, ok := jobAccount(t.Context(), e, fmt.Sprintf("marker-%d", i))
				status, _, err := deploy.Call(t.Context(), http.MethodGet, e.URL("operator")+fmt.Sprintf("/v1/config/changes/marker-%d", i), nil, nil)
				return ok && err == nil && status == 200
			})
		}
	}
}

// injectLostReplies makes the log and its proxies lose replies until the returned function is called.
func injectLostReplies(t *testing.T, d *deploy.Deployment) (stop func()) {
	t.Helper()
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			lostReplies := 1
			if n >= 20 && n < 150 {
				// All replies are lost for longer than the timeout of a caller, while the writer queues further writes.
				lostReplies = 25
			}
			if err := d.SetLogFaults(t.Context(), memlog.Faults{LoseReplies: lostReplies}); err != nil {
				t.Error(err)
			}
			d.LogProxies[n%len(d.LogProxies)].DropReplies(1, "POST /streams")
			select {
			case <-time.After(50 * time.Millisecond):
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
		assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
		for _, p := range d.LogProxies {
			p.Restore()
		}
	}
}

// countRepeats counts the records of a stream that repeat an earlier one of the same writer, incarnation and number.
func countRepeats(t *testing.T, d *deploy.Deployment, stream string) int {
	t.Helper()
	type recordNumber struct {
		writer           string
		incarnation, seq uint64
	}
	seen, n := make(map[recordNumber]bool), 0
	for _, r := range readRecords(t, d, stream, 1) {
		key := recordNumber{r.Writer, r.Incarnation, r.Seq}
		if seen[key] {
			n++
		}
		seen[key] = true
	}
	return n
}

// checkOutcomes checks the reported outcomes against the ids on record.
func checkOutcomes(t *testing.T, reported map[string]callOutcome, onRecord map[string]bool) {
	t.Helper()
	for id, outcome := range reported {
		assert.Assert(t, outcome != outcomeDone || onRecord[id], "%s was accepted and is not on record", id)
		assert.Assert(t, outcome != outcomeNotDone || !onRecord[id], "%s was refused as not run and is on record", id)
	}
}

// checkSubmissions checks that every entry lists each job once, with all its tasks and in accordance with the reported
// outcome. It returns the jobs on record.
func checkSubmissions(t *testing.T, d *deploy.Deployment, reported map[string]callOutcome) []string {
	t.Helper()
	var ids []string
	for _, e := range d.Entries {
		_, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/v1/jobs", auth, nil)
		assert.NilError(t, err)
		var list []struct {
			ID    string
			Tasks int
		}
		assert.NilError(t, json.Unmarshal(body, &list))
		seen := make(map[string]bool)
		ids = nil
		for _, j := range list {
			id := strings.TrimPrefix(j.ID, "hartwell/")
			assert.Assert(t, !seen[id], "%s is listed twice", id)
			assert.Equal(t, j.Tasks, 2, id)
			seen[id] = true
			ids = append(ids, id)
		}
		checkOutcomes(t, reported, seen)
	}
	return ids
}

// checkAuditTrail checks that the audit trail of every entry has each change once and in accordance with the reported
// outcome, and that the trails of all entries are equal.
func checkAuditTrail(t *testing.T, d *deploy.Deployment, reported map[string]callOutcome) {
	t.Helper()
	var first string
	for _, e := range d.Entries {
		_, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("operator")+"/v1/audit", nil, nil)
		assert.NilError(t, err)
		var list []config.Outcome
		assert.NilError(t, json.Unmarshal(body, &list))
		seen, revision := make(map[string]bool), uint64(0)
		for _, o := range list {
			assert.Assert(t, !seen[o.Change.ID], "%s is in the audit trail twice", o.Change.ID)
			seen[o.Change.ID] = true
			assert.Assert(t, o.Revision > revision, "revision %d follows %d", o.Revision, revision)
			revision = o.Revision
		}
		checkOutcomes(t, reported, seen)
		if first == "" {
			first = string(body)
		}
		assert.Equal(t, string(body), first)
	}
}
