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

// idleSide is a side process that announces only when it is notified of a change.
type idleSide struct {
	service string
	entry   *Entry
	// ignoreNotifications makes it answer notifications without announcing.
	ignoreNotifications atomic.Bool
	notifications       atomic.Int64
	seq                 atomic.Uint64
	url                 string
}

func (s *idleSide) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.notifications.Add(1)
	w.Header().Set(control.HeaderClock, "run:1000000")
	if !s.ignoreNotifications.Load() {
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

const contractJSON = `{"base":%d,"contract":{"customer":%q,"priority":"standard","requests_per_second":10,"request_burst":10,"concurrency":5,"services":[{"name":%q,"deadline_ms":5000}]}}`

// Guards against a change that is reported in force only after the next heartbeat of idle side processes, 31 s in a
// large region; against notifications of side processes that a change does not concern, which would exceed the message
// budget; and against a change reported in force while a side process that it concerns has not applied it.
func TestChangeNotifiesAffectedSides(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), func(e *Entry) { e.set.Heartbeat = time.Minute })
	// An entry that is still replaying its streams sends no notifications.
	eventually(t, "the entry ready", e.ready.Load)
	a, b := startIdleSide(t, e, "fitcheck"), startIdleSide(t, e, "puddle")
	r1 := publishChange(t, e, fmt.Sprintf(contractJSON, 0, "hartwell", "fitcheck"))
	eventually(t, "the change in force", func() bool { return e.inForce(r1).Everyone })
	assert.Assert(t, a.notifications.Load() > 0)
	assert.Equal(t, b.notifications.Load(), int64(0))

	notified := a.notifications.Load()
	zone := publishChange(t, e, `{"zone":{"zone":"midshire-c","out":true,"reason":"test"}}`)
	assert.Assert(t, e.inForce(zone).Everyone, "only entries enforce zone changes")
	assert.Equal(t, a.notifications.Load(), notified)

	a.ignoreNotifications.Store(true)
	r2 := publishChange(t, e, fmt.Sprintf(contractJSON, r1, "hartwell", "fitcheck"))
	assert.DeepEqual(t, e.inForce(r2).Behind, []string{"instance-fitcheck"})
	// Its report does not show which earlier changes it has applied.
	assert.DeepEqual(t, e.inForce(zone).Behind, []string{"instance-fitcheck"})
	assert.NilError(t, a.announce(t.Context(), r2))
	assert.Assert(t, e.inForce(r2).Everyone)
}

// Guards against a required revision below one that the side process has to enforce.
func TestRequiredRevision(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), unchanged)
	s := startIdleSide(t, e, "fitcheck")
	need := func(want uint64) (n uint64) {
		e.read(func(st *core.State) {
			ep, _ := st.Members.Get("instance-" + s.service)
			n = requiredRevision(st, ep, want)
		})
		return n
	}
	assert.Equal(t, need(9), uint64(0))
	contract := publishChange(t, e, fmt.Sprintf(contractJSON, 0, "hartwell", "fitcheck"))
	assert.Equal(t, need(contract), contract)
	other := publishChange(t, e, fmt.Sprintf(contractJSON, 0, "nilewater", "puddle"))
	assert.Equal(t, need(other), contract)
	order := publishChange(t, e, `{"shutdown":{"endpoint":"instance-fitcheck","drain":true}}`)
	assert.Equal(t, need(order), order)
	assert.Equal(t, need(other), other, "whether an earlier change concerned it is not known after a newer one")
}
