package side

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/standin"
)

// fakeDecider answers polls as the test sets it up. Its other methods are not called.
type fakeDecider struct {
	control.Entry
	mu    sync.Mutex
	polls []*control.SyncRequest
	// loseReplies makes it accept polls but lose the replies. forgetHeld makes it forget which attempts the worker runs.
	loseReplies, forgetHeld bool
}

func (f *fakeDecider) Sync(_ context.Context, r *control.SyncRequest) (*control.SyncResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls = append(f.polls, r)
	if f.loseReplies {
		return nil, io.ErrUnexpectedEOF
	}
	known := !f.forgetHeld || !r.HeldByDigest
	return &control.SyncResponse{
		Epoch: 1, Sequence: r.Sequence, LeaseMs: 10_000, NextPollMs: 3000, RenewedAll: known, HeldKnown: known, UsageKnown: known,
	}, nil
}

// Leases must not expire after one lost reply, which happens if the next poll waits as long as any other. A decider
// that lacks the list of running attempts must get it with the next poll.
func TestPollAfterFailureIsNotWithheld(t *testing.T) {
	f := &fakeDecider{}
	srv := httptest.NewServer(control.NewEntryServer(f))
	defer srv.Close()
	worker := standin.NewWorker(standin.WorkerOptions{ID: "w", Capacity: record.Resources{CPUMilli: 1000, MemoryMB: 1000}})
	set := settings.Side{ID: "w", Zone: "z", Data: "127.0.0.1:0", Connections: 64, Slots: 8, Queue: 16, Entries: []string{strings.TrimPrefix(srv.URL, "http://")}}
	s, err := New(set, worker, io.Discard)
	assert.NilError(t, err)
	s.rpc = &http.Client{}
	assert.NilError(t, worker.Start(t.Context(), external.TaskSpec{Task: "c/j#0", Attempt: 1, Epoch: 1, ExpiresMs: 60_000, StartByMs: 60_000}))
	y := &syncer{side: s, state: holder.New(), wait: 3 * time.Second}
	for _, step := range []struct {
		name          string
		lost, unknown bool
		waitMs        uint32
		byDigest      bool
		samples       int
	}{
		{"the first poll has the list", false, false, 3000, false, 1},
		{"the second has a digest and no unchanged usage", false, false, 3000, true, 0},
		{"the reply to a poll is lost", true, false, 3000, true, 0},
		{"the poll after a lost reply does not wait", false, false, 0, true, 0},
		{"the one after it waits again", false, false, 3000, true, 0},
		{"the decider does not know the list", false, true, 3000, true, 0},
		{"the next poll has the list and does not wait", false, true, 0, false, 1},
		{"a digest that the decider does not know again", false, true, 3000, true, 0},
	} {
		f.loseReplies, f.forgetHeld = step.lost, step.unknown
		assert.Equal(t, y.poll(t.Context()), !step.lost, step.name)
		p := f.polls[len(f.polls)-1]
		assert.Equal(t, p.WaitMs, step.waitMs, step.name)
		assert.Equal(t, p.HeldByDigest, step.byDigest, step.name)
		assert.Equal(t, len(p.Held) == 0, step.byDigest, step.name)
		assert.Equal(t, len(p.Usage), step.samples, step.name)
	}
}
