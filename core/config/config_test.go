package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

// contract returns a valid contract.
func contract(customer string, services ...string) record.Contract {
	c := record.Contract{Customer: customer, Priority: record.Critical}
	for _, name := range services {
		c.Services = append(c.Services, record.Service{Name: name, DeadlineMs: 1000})
	}
	return c
}

func change(id string, base uint64, c record.Contract) record.ConfigChange {
	return record.ConfigChange{ID: id, Base: base, Contract: &c}
}

// testLog applies the records of one writer to a state.
type testLog struct {
	state *State
	next  uint64
}

func (l *testLog) apply(changes ...record.ConfigChange) []Outcome {
	l.next++
	return l.state.Fold(l.next, &record.Record{Writer: "e", Incarnation: 1, Seq: l.next, Config: changes})
}

// Guards against an invalid change that is accepted, and against errors that don't name the field and a remedy.
func TestCheck(t *testing.T) {
	with := func(edit func(*record.Contract)) record.ConfigChange {
		c := contract("hartwell", "fitcheck")
		edit(&c)
		return change("c1", 0, c)
	}
	for field, c := range map[string]record.ConfigChange{
		"":                                 with(func(*record.Contract) {}),
		"id":                               change("", 0, contract("hartwell")),
		"change":                           {ID: "c1"},
		"zone.zone":                        {ID: "c1", Zone: &record.ZoneChange{Zone: "Midshire A"}},
		"shutdown.endpoint":                {ID: "c1", Shutdown: &record.ShutdownChange{Drain: true}},
		"shutdown.limit_ms":                {ID: "c1", Shutdown: &record.ShutdownChange{Endpoint: "e", LimitMs: -1}},
		"contract.customer":                with(func(c *record.Contract) { c.Customer = "-" }),
		"contract.priority":                with(func(c *record.Contract) { c.Priority = "high" }),
		"contract.guaranteed":              with(func(c *record.Contract) { c.Guaranteed.CPUMilli = -1 }),
		"contract.burst":                   with(func(c *record.Contract) { c.Guaranteed.MemoryMB = 1 }),
		"contract.concurrency":             with(func(c *record.Contract) { c.Concurrency = -1 }),
		"contract.max_keys":                with(func(c *record.Contract) { c.MaxKeys = -1 }),
		"contract.token_sha256[0]":         with(func(c *record.Contract) { c.TokenSHA256 = []string{"secret"} }),
		"contract.services[0].name":        with(func(c *record.Contract) { c.Services[0].Name = "v1" }),
		"contract.services[1].name":        with(func(c *record.Contract) { c.Services = append(c.Services, c.Services[0]) }),
		"contract.services[0].deadline_ms": with(func(c *record.Contract) { c.Services[0].DeadlineMs = 0 }),
		"contract.services[0].once[0]":     with(func(c *record.Contract) { c.Services[0].Once = []record.OnceRule{{Method: "POST", Prefix: "x"}} }),
	} {
		err := Check(c, New())
		if field == "" {
			assert.NilError(t, err)
			continue
		}
		var typed *errdefs.Error
		assert.Assert(t, errors.As(err, &typed), "%s: %v", field, err)
		assert.Equal(t, typed.Field, field)
		assert.Assert(t, typed.Remedy != "", field)
	}
}

// Guards against conflicting changes of two operators that both take effect, against a change that takes effect twice
// because it was repeated after a lost reply, and against a service that belongs to two customers.
func TestLogOrderDecides(t *testing.T) {
	log := &testLog{state: New()}
	first := log.apply(change("c1", 0, contract("hartwell", "fitcheck")), change("c2", 0, contract("hartwell", "other")))
	assert.Equal(t, first[0].Status, Accepted)
	assert.Equal(t, first[1].Status, Conflict)
	assert.Equal(t, first[1].Won, first[0].Revision)
	assert.Equal(t, first[1].WonBy, "c1")

	assert.Equal(t, len(log.apply(change("c1", 0, contract("hartwell", "again")))), 0, "a repeat has no second outcome")
	stored, ok := log.state.Outcome("c1")
	assert.Assert(t, ok && stored.Revision == first[0].Revision)

	duplicate := log.apply(change("c3", 0, contract("nilewater", "fitcheck")))[0]
	assert.Equal(t, duplicate.Status, Rejected)
	assert.Equal(t, log.apply(change("c4", first[0].Revision, contract("hartwell", "clearance")))[0].Status, Accepted)
	assert.Equal(t, log.apply(change("c5", 0, contract("nilewater", "fitcheck")))[0].Status, Accepted, "the previous owner has removed the service")
	c, _, ok := log.state.Service("fitcheck")
	assert.Assert(t, ok && c.Customer == "nilewater")

	before := log.state.Revision
	assert.Equal(t, len(log.state.Fold(1, &record.Record{Writer: "late", Incarnation: 1, Seq: 1,
		Config: []record.ConfigChange{change("c6", 0, contract("late"))}})), 0, "an old offset changes nothing")
	assert.Equal(t, log.state.Revision, before)
}

// Guards against an audit trail that grows without bound, against wrong outcomes by id after it was trimmed, and against
// a restored configuration that differs from the original.
func TestAuditIsBounded(t *testing.T) {
	log := &testLog{state: New()}
	zone := func(i int) record.ConfigChange {
		return record.ConfigChange{ID: fmt.Sprint("c", i), Base: log.next, Zone: &record.ZoneChange{Zone: "midshire-a", Out: i%2 == 0}}
	}
	for i := range maxAudit + 10 {
		assert.Equal(t, log.apply(zone(i))[0].Status, Accepted)
	}
	assert.Assert(t, len(log.state.Audit) <= maxAudit)
	_, ok := log.state.Outcome("c0")
	assert.Assert(t, !ok)
	out, ok := log.state.Outcome(fmt.Sprint("c", maxAudit+9))
	assert.Assert(t, ok && out.Revision == log.next)

	data, err := cbor.Marshal(log.state)
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, cbor.Unmarshal(data, restored))
	restored.Reindex()
	again, ok := restored.Outcome(out.Change.ID)
	assert.Assert(t, ok && again.Revision == out.Revision)
	assert.Equal(t, restored.ZoneOut("midshire-a"), log.state.ZoneOut("midshire-a"))
}
