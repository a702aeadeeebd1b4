package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// gatedStore takes one append at a time, each when the test lets it through.
type gatedStore struct {
	mu      sync.Mutex
	appends [][]work.Record
	begun   chan struct{}
	results chan error
}

func newGatedStore() *gatedStore {
	return &gatedStore{begun: make(chan struct{}, 100), results: make(chan error)}
}

func (g *gatedStore) append(_ context.Context, a work.Append) (work.Appended, error) {
	g.mu.Lock()
	g.appends = append(g.appends, a.Records)
	g.mu.Unlock()
	g.begun <- struct{}{}
	return work.Appended{}, <-g.results
}

// Guards against a slow store that takes one append a caller: at 95 times its usual time it stores ten records a second
// that way, and refuses or loses most of the submissions of a large site (trouble-2 of hartwell-keel-large). Records that
// wait are stored together.
func TestSubmissionsShareAppendsOfSlowStore(t *testing.T) {
	g := newGatedStore()
	b := &batcher{append: g.append}
	b.recordDuration(slowStore)
	assert.Assert(t, b.slow())
	results := make(chan error, 40)
	add := func(i int) {
		go func() { results <- b.add(context.Background(), []work.Record{{Key: fmt.Sprint(i)}}) }()
	}
	add(0)
	<-g.begun
	for i := range 39 {
		add(i + 1)
	}
	waitFor(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.queue) == 39 })
	g.results <- nil
	<-g.begun
	g.results <- nil
	for range 40 {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, len(g.appends), 2)
	assert.Equal(t, len(g.appends[1]), 39)
}

// Guards against a submission that is reported as not stored although its batch may have been, and against one that is
// stored after its caller was told that it was not.
func TestBatchedSubmissionsShareTheOutcome(t *testing.T) {
	g := newGatedStore()
	b := &batcher{append: g.append}
	b.recordDuration(slowStore)
	first := make(chan error, 1)
	go func() { first <- b.add(context.Background(), []work.Record{{Key: "a"}}) }()
	<-g.begun
	ctx, cancel := context.WithCancel(context.Background())
	waiting := make(chan error, 1)
	go func() { waiting <- b.add(ctx, []work.Record{{Key: "b"}}) }()
	waitFor(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.queue) == 1 })
	cancel()
	assert.Equal(t, errdefs.KindOf(<-waiting), errdefs.Unavailable, "a record that was not sent")
	g.results <- errdefs.OfKind(errdefs.Unknown)
	assert.Equal(t, errdefs.KindOf(<-first), errdefs.Unknown)
	ctx, cancel = context.WithCancel(context.Background())
	sent := make(chan error, 1)
	go func() { sent <- b.add(ctx, []work.Record{{Key: "c"}}) }()
	<-g.begun
	cancel()
	assert.Equal(t, errdefs.KindOf(<-sent), errdefs.Unknown, "a record that is in flight")
	g.results <- nil
	assert.Equal(t, len(g.appends), 2)
}

// Guards against batches beyond the limits of the store.
func TestBatchesAreBounded(t *testing.T) {
	g := newGatedStore()
	b := &batcher{append: g.append}
	b.recordDuration(slowStore)
	results := make(chan error, 10)
	add := func(n int) {
		go func() { results <- b.add(context.Background(), []work.Record{{Key: "k", Value: make([]byte, n)}}) }()
	}
	add(1)
	<-g.begun
	for range 5 {
		add(maxBatchBytes / 2)
	}
	waitFor(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.queue) == 5 })
	g.results <- nil
	for range 5 {
		<-g.begun
		g.results <- nil
	}
	for range 6 {
		assert.NilError(t, <-results)
	}
	for _, a := range g.appends {
		size := 0
		for _, r := range a {
			size += len(r.Value)
		}
		assert.Assert(t, size <= maxBatchBytes, "%d bytes", size)
	}
}

// Guards against records of a slow store that are appended by many entries, each with an append of its own.
func TestLargestEntryCollectsWhileStoreIsSlow(t *testing.T) {
	r := newRelay(&scriptedStore{}, "self", 0.2)
	_, ok := r.collector(0.2)
	assert.Assert(t, !ok)
	r.setPeer(work.ProcessAddress{Instance: "small", Cores: 0.1})
	_, ok = r.collector(0.2)
	assert.Assert(t, !ok)
	r.setPeer(work.ProcessAddress{Instance: "big-2", Cores: 0.8})
	r.setPeer(work.ProcessAddress{Instance: "big-1", Cores: 0.8})
	p, ok := r.collector(0.2)
	assert.Assert(t, ok)
	assert.Equal(t, p.Instance, "big-1")
	r.backOffPeer("big-1")
	p, _ = r.collector(0.2)
	assert.Equal(t, p.Instance, "big-2")
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Minute {
			t.Fatal("timed out")
		}
	}
}
