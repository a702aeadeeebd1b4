package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/testca"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Guards against a side process that sends announcements or polls for an instance that its certificate does not name.
func TestCertificateNamesInstance(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	ca, err := testca.New("authority")
	assert.NilError(t, err)
	until := time.Now().Add(time.Hour)
	entryKeys, err := ca.Issue(dir, "entry", tlsconf.Entry, until, ca)
	assert.NilError(t, err)
	// All side processes use the certificate of the first one.
	sideKeys, err := ca.IssueFor(dir, "side", tlsconf.Side, until, []string{"instance-01"}, ca)
	assert.NilError(t, err)
	operator, err := ca.Issue(dir, "ada", tlsconf.Operator, until, ca)
	assert.NilError(t, err)
	lines := &logLines{}
	d := deployment(t, func(o *deploy.Options) {
		o.Output, o.EntrySettings, o.SideSettings = lines, tlsSettings(entryKeys), tlsSettings(sideKeys)
	})
	c := newCLI(t, d)
	c.entries = d.Entries[0].Address("operator")
	list := func(into any, what string) {
		c.mustRun(into, "--cert", operator.Cert, "--key", operator.Key, "--ca", operator.CA, what, "list")
	}
	var endpoints []entry.EndpointView
	var workers []entry.WorkerView
	wait(t, "instance-01 to be listed", func() bool {
		list(&endpoints, "endpoint")
		list(&workers, "worker")
		return len(endpoints) > 0 && len(workers) > 0
	})
	for _, id := range []string{"instance-02", "instance-03"} {
		wait(t, "refusals of "+id, func() bool { return len(lines.matching(`"event":106`, id)) >= 3 })
	}
	list(&endpoints, "endpoint")
	list(&workers, "worker")
	assert.Assert(t, len(endpoints) == 1 && endpoints[0].ID == "instance-01", "%v", endpoints)
	assert.Assert(t, len(workers) == 1 && workers[0].ID == "instance-01", "%v", workers)
	assert.Equal(t, len(lines.matching(`"event":106`, `"instance":"instance-01"`)), 0)
}
