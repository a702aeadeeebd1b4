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
	"github.com/verbenakeel/verbenakeel/external/logclient"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// startRegions starts two regions whose processes have the same names: midshire, whose log also holds the configuration of
// both, and eg-delta with a log of its own.
func startRegions(t *testing.T) (common, region *deploy.Deployment) {
	t.Helper()
	common = deployment(t, func(o *deploy.Options) { o.Entries, o.Instances = 2, 1 })
	region = deployment(t, func(o *deploy.Options) {
		o.Region, o.Zones, o.ConfigLog = "eg-delta", []string{"delta-a", "delta-b", "delta-c"}, common.LogNode.URL("http")
	})
	publish(t, common)
	for _, e := range region.Entries {
		wait(t, "routing at "+e.Name, func() bool {
			code, _, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/fitcheck/ping", nil, nil)
			return err == nil && code == 200
		})
	}
	return common, region
}

// cutConfigLog cuts a region off from the log with the configuration and waits until every entry has detected it.
func cutConfigLog(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	for _, p := range d.ConfigLogProxies {
		p.Cut()
	}
	for _, e := range d.Entries {
		wait(t, "the cut to be detected at "+e.Name, func() bool { s := status(t, e); return s.Entry != "" && !s.ConfigFresh && s.LogFresh })
	}
}

// mustChangeZone sends a change of a zone that must be accepted, and returns its revision.
func mustChangeZone(t *testing.T, d *deploy.Deployment, zone string, out bool, base uint64) uint64 {
	t.Helper()
	code, body := changeZone(t, d, 0, zone, out, base)
	assert.Equal(t, code, 200, string(body))
	var o struct{ Revision uint64 }
	assert.NilError(t, json.Unmarshal(body, &o))
	return o.Revision
}

func countRecords(t *testing.T, d *deploy.Deployment, stream string) int {
	t.Helper()
	page, err := logclient.New(d.LogNode.URL("http")).Read(t.Context(), stream, 1, 10, 0)
	assert.NilError(t, err)
	return len(page.Entries)
}

// Guards against a region that fails requests, loses work or starts tasks in a zone that was taken out while it cannot
// reach the log with the configuration, and against false answers about that configuration. The entries of both regions
// have the same ids, so that the test also guards against readers that mistake their records for those of one writer.
func TestRegionCutFromConfiguration(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	common, region := startRegions(t)
	mustChangeZone(t, region, "delta-c", true, 0)
	mustChangeZone(t, common, "midshire-c", true, 0)
	mustChangeZone(t, region, "delta-c", false, zoneRevision(t, common, "delta-c"))
	for d, name := range map[*deploy.Deployment]string{common: "sched.eg-delta", region: "config"} {
		assert.Equal(t, countRecords(t, d, name), 0, "%s is on the wrong log", name)
	}
	submitBatchJob(t, region.Entries[0], "through", 3, 30*time.Second)
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, region) == 3 })
	cutConfigLog(t, region)

	outRevision := mustChangeZone(t, common, "delta-b", true, 0)
	events := []history.Event{history.ZoneState{At: time.Since(origin), Zone: "delta-b", Out: true}}
	checkRequestsServed(t, region)
	submitBatchJob(t, region.Entries[1], "new", 3, 300*time.Millisecond)
	decider := region.Entries[waitForDecider(t, region)]
	wait(t, "the reason why the job waits", func() bool {
		a, ok := jobAccount(t.Context(), decider, "new")
		return ok && strings.Contains(a.Waiting, "the log with the configuration does not answer")
	})
	checkAnswersDuringCut(t, region, outRevision)
	assert.Equal(t, countRunningTasks(t, region), 3, "during the cut no task may start, and running ones must go on")
	a, _ := jobAccount(t.Context(), region.Entries[0], "through")
	for _, task := range a.Tasks {
		assert.Assert(t, task.Attempt == 1 && task.State.Placed(), "%s was interrupted: %v", task.ID, task.History)
	}

	for _, p := range region.ConfigLogProxies {
		p.Restore()
	}
	checkTasks(t, region, origin, events, "through", "new")
	code, body, err := deploy.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s/v1/inforce?revision=%d&wait_ms=30000", region.Entries[1].URL("operator"), outRevision), nil, nil)
	assert.NilError(t, err)
	assert.Assert(t, code == 200 && strings.Contains(string(body), `"everyone":true`), string(body))
}

// checkRequestsServed checks that all entries answer repeatable requests and requests that run at most once.
func checkRequestsServed(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	key := map[string]string{"Idempotency-Key": "during-cut"}
	var answers []string
	for _, e := range d.Entries {
		code, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/fitcheck/ping", nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, code, 200, string(body))
		code, body, err = deploy.Call(t.Context(), http.MethodPost, e.URL("public")+"/fitcheck/clearance", key, []byte("seat"))
		assert.NilError(t, err)
		assert.Equal(t, code, 200, string(body))
		answers = append(answers, string(body))
	}
	assert.Equal(t, answers[0], answers[len(answers)-1], "a repeated request did not get the recorded answer")
}

// checkAnswersDuringCut checks the answers to operators while the region is cut off from the log with the configuration.
// newerRevision is a revision that the region has not received.
func checkAnswersDuringCut(t *testing.T, d *deploy.Deployment, newerRevision uint64) {
	t.Helper()
	code, body := sendConfigChange(t, d, 1, `{"id":"in-cut","zone":{"zone":"delta-a","out":true}}`)
	assert.Assert(t, code == 503 || code == 502 && strings.Contains(string(body), `"outcome":"unknown"`), "%d %s", code, body)
	code, body, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[0].URL("operator")+"/v1/config/changes/elsewhere", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 503, "whether a change is on record is unknown during the cut: %s", body)
	var r entry.InForce
	code, body, err = deploy.Call(t.Context(), http.MethodGet, fmt.Sprintf("%s/v1/inforce?revision=%d", d.Entries[0].URL("operator"), newerRevision), nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 200)
	assert.NilError(t, json.Unmarshal(body, &r))
	assert.Assert(t, !r.Everyone && r.Region == "eg-delta" && len(r.Behind) > 0, string(body))
}

// Guards against running tasks that are stopped, and a region that stays without a decider, when the decider is lost while
// the region cannot reach the log with the configuration; also against an entry that cannot start during that time,
// although its peers have the configuration.
func TestDeciderChangeWhileCutFromConfiguration(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	_, region := startRegions(t)
	submitBatchJob(t, region.Entries[0], "through", 3, 30*time.Second)
	wait(t, "tasks to run", func() bool { return countRunningTasks(t, region) == 3 })
	cutConfigLog(t, region)
	oldDecider := waitForDecider(t, region)
	assert.NilError(t, region.Entries[oldDecider].Process().Kill())
	peer := region.Entries[(oldDecider+1)%3]
	wait(t, "another decider", func() bool {
		return status(t, peer).Acting || status(t, region.Entries[(oldDecider+2)%3]).Acting
	})
	assert.NilError(t, region.Entries[oldDecider].Start(t.Context()))
	assert.NilError(t, region.WaitHealthy(t.Context(), region.Entries[oldDecider]))
	assert.Assert(t, !status(t, region.Entries[oldDecider]).ConfigFresh, "the configuration came from a peer and must not count as fresh")
	submitBatchJob(t, region.Entries[oldDecider], "new", 1, 300*time.Millisecond)
	assert.Equal(t, countRunningTasks(t, region), 3, "during the cut no task may start, and running ones must go on")
	for _, p := range region.ConfigLogProxies {
		p.Restore()
	}
	checkTasks(t, region, origin, nil, "through", "new")
	a, _ := jobAccount(t.Context(), region.Entries[0], "through")
	for _, task := range a.Tasks {
		assert.Equal(t, task.Attempt, uint32(1), "%s was started more than once: %v", task.ID, task.History)
	}
}
