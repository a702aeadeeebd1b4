package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/external/memlog"
)

// idleSide is a side process that announces only when it is nudged.
type idleSide struct {
	service string
	entry   *Entry
	// deaf makes it ignore nudges.
	deaf   atomic.Bool
	nudges atomic.Int64
	seq    atomic.Uint64
	url    string
}

func (s *idleSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.nudges.Add(1)
	w.Header().Set(control.HeaderClock, "run:1000000")
	if !s.deaf.Load() {
		var revision uint64
		_, _ = fmt.Sscan(r.Header.Get(control.HeaderRevision), &revision)
		_ = s.announce(r.Context(), revision)
	}
	_, _ = io.WriteString(w, "")
}

func (s *idleSide) announce(ctx context.Context, revision uint64) error {
	_, err := (&controlServer{s.entry}).Announce(ctx, &control.AnnounceRequest{
		Process: &control.Process{Id: "instance-" + s.service, Incarnation: 1}, Sequence: s.seq.Add(1), Service: s.service,
		Address: s.url, Slots: 8, SlotsFree: 8, EndpointUp: true, Revision: revision,
	})
	return err
}

func startIdleSide(t *testing.T, e *Entry, service string) *idleSide {
	t.Helper()
	s := &idleSide{service: service, entry: e}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	s.url = strings.TrimPrefix(srv.URL, "http://")
	assert.NilError(t, s.announce(t.Context(), 0))
	return s
}

func publishChange(t *testing.T, e *Entry, body string) uint64 {
	t.Helper()
	before := e.revision()
	eventually(t, "the change", func() bool {
		status, _ := post(t, "http://"+e.OperatorAddress()+"/v1/config", "", "", body)
		return status == 200
	})
	eventually(t, "the revision", func() bool { return e.revision() > before })
	return e.revision()
}

const contractOf = `{"base":%d,"contract":{"customer":%q,"priority":"standard","requests_per_second":10,"request_burst":10,"concurrency":5,"services":[{"name":%q,"deadline_ms":5000}]}}`

// Guards against a change that is reported in force only after the next announcement of idle side processes, 31 s in a
// large region, against nudges of side processes that a change does not concern, which would pass the budget of messages,
// and against a change reported in force while a side process that it concerns is behind.
func TestChangeNudgesThoseItConcerns(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), func(e *Entry) { e.set.Heartbeat = time.Minute })
	// An entry that reads its streams for the first time nudges nobody.
	eventually(t, "the entry ready", e.ready.Load)
	a, b := startIdleSide(t, e, "fitcheck"), startIdleSide(t, e, "puddle")
	r1 := publishChange(t, e, fmt.Sprintf(contractOf, 0, "hartwell", "fitcheck"))
	eventually(t, "the change in force", func() bool { return e.inForce(r1).Everyone })
	assert.Assert(t, a.nudges.Load() > 0)
	assert.Equal(t, b.nudges.Load(), int64(0))

	nudged := a.nudges.Load()
	zone := publishChange(t, e, `{"zone":{"zone":"midshire-c","out":true,"reason":"test"}}`)
	assert.Assert(t, e.inForce(zone).Everyone, "entries alone enforce a zone")
	assert.Equal(t, a.nudges.Load(), nudged)

	a.deaf.Store(true)
	r2 := publishChange(t, e, fmt.Sprintf(contractOf, r1, "hartwell", "fitcheck"))
	assert.DeepEqual(t, e.inForce(r2).Behind, []string{"instance-fitcheck"})
	// What it enforces of earlier changes is not known.
	assert.DeepEqual(t, e.inForce(zone).Behind, []string{"instance-fitcheck"})
	assert.NilError(t, a.announce(t.Context(), r2))
	assert.Assert(t, e.inForce(r2).Everyone)
}

// Guards against side processes that are asked for less than they enforce.
func TestNeededRevision(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), asIs)
	s := startIdleSide(t, e, "fitcheck")
	need := func(want uint64) (n uint64) {
		e.read(func(st *core.State) {
			ep, _ := st.Members.Get("instance-" + s.service)
			n = needed(st, ep, want)
		})
		return n
	}
	assert.Equal(t, need(9), uint64(0))
	contract := publishChange(t, e, fmt.Sprintf(contractOf, 0, "hartwell", "fitcheck"))
	assert.Equal(t, need(contract), contract)
	other := publishChange(t, e, fmt.Sprintf(contractOf, 0, "nilewater", "puddle"))
	assert.Equal(t, need(other), contract)
	order := publishChange(t, e, `{"shutdown":{"endpoint":"instance-fitcheck","drain":true}}`)
	assert.Equal(t, need(order), order)
	assert.Equal(t, need(other), other, "the newest change hides whether an earlier one concerned it")
}
