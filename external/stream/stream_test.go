package stream

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/record"
)

// hungLog never answers appends.
type hungLog struct{ *memlog.Log }

func (hungLog) Append(ctx context.Context, _ string, _ []byte) (uint64, error) {
	<-ctx.Done()
	return 0, external.ErrOutcomeUnknown
}

func options() WriterOptions {
	return WriterOptions{ID: "e1", Incarnation: 1, WallMs: func() int64 { return 1 }}
}

func submit(id string) record.Record { return record.Record{Submits: []record.Job{{ID: id}}} }

// collector is a Handler that records its calls.
type collector struct {
	mu       sync.Mutex
	seq      record.Sequences
	next     uint64
	jobs     []string
	restored uint64
	failures int
	skipped  int
}

func newCollector() *collector { return &collector{seq: record.Sequences{}, next: 1} }

func (c *collector) Next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

func (c *collector) Apply(offset uint64, rec *record.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = offset + 1
	if !c.seq.Accept(rec) {
		return
	}
	for _, j := range rec.Submits {
		c.jobs = append(c.jobs, j.ID)
	}
}

func (c *collector) CaughtUp(uint64, uint64, time.Time) {}

func (c *collector) Restore(offset uint64, _ []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next, c.restored = offset, offset
	return nil
}

func (c *collector) Skipped(uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped++
}

func (c *collector) Failed(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
}

// A record must be applied exactly once if the log's reply to its append was lost.
func TestWriteAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w, c := NewWriter(log, "s", options()), newCollector()
		go w.Run(ctx)
		go func() { _ = Follow(ctx, log, "s", DefaultFollowOptions(), c) }()
		log.SetFaults(memlog.Faults{LoseReplies: 2})
		offset, err := w.Write(ctx, submit("a"))
		assert.NilError(t, err)
		assert.Equal(t, offset, uint64(3))
		_, err = w.Write(ctx, submit("b"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, c.jobs, []string{"a", "b"})
	})
}

// A write must not block or return a wrong outcome while the log is down or does not reply, or after the writer stopped.
func TestWriteWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		ctx, stop := context.WithCancel(t.Context())
		down := NewWriter(log, "s", options())
		go down.Run(ctx)
		log.SetFaults(memlog.Faults{Down: true})
		began := time.Now()
		_, err := down.Write(ctx, submit("a"))
		assert.Assert(t, errors.Is(err, external.ErrNotAppended), "%v", err)
		assert.Equal(t, time.Since(began), time.Duration(0))

		hung := NewWriter(hungLog{log}, "s", options())
		go hung.Run(ctx)
		var results sync.WaitGroup
		first, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		results.Go(func() {
			_, err := hung.Write(first, submit("b"))
			assert.Check(t, errors.Is(err, external.ErrOutcomeUnknown), "%v", err)
		})
		results.Go(func() {
			time.Sleep(time.Second)
			waiting, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			_, err := hung.Write(waiting, submit("c"))
			assert.Check(t, errors.Is(err, external.ErrNotAppended), "waiting behind the unknown record: %v", err)
		})
		results.Go(func() {
			time.Sleep(4 * time.Second)
			began := time.Now()
			_, err := hung.Write(ctx, submit("d"))
			assert.Check(t, errors.Is(err, external.ErrNotAppended), "%v", err)
			assert.Check(t, time.Since(began) == 0)
		})
		results.Wait()
		stop()
		synctest.Wait()
		_, err = hung.Write(t.Context(), submit("e"))
		assert.Assert(t, errors.Is(err, external.ErrNotAppended), "after the writer stopped: %v", err)
	})
}

// A superseded run must stop writing, because readers drop its records.
func TestSupersededWriter(t *testing.T) {
	w := NewWriter(memlog.New(memlog.Options{}), "s", options())
	w.Supersede()
	_, err := w.Write(t.Context(), submit("a"))
	assert.Assert(t, errors.Is(err, external.ErrNotAppended))
}

// A follower must not apply the retained records if older ones are missing, but wait for a snapshot.
func TestFollowerNeedsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{KeepRecords: 3})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w, c := NewWriter(log, "s", options()), newCollector()
		go w.Run(ctx)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			_, err := w.Write(ctx, submit(id))
			assert.NilError(t, err)
		}
		go func() { _ = Follow(ctx, log, "s", DefaultFollowOptions(), c) }()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, c.Next(), uint64(1))
		assert.Assert(t, c.failures > 0 && len(c.jobs) == 0)
		for _, p := range Split(6, make([]byte, MaxPieceBytes+1)) {
			_, err := w.Write(ctx, record.Record{Snapshot: &p})
			assert.NilError(t, err)
		}
		_, err := w.Write(ctx, submit("f"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, c.restored, uint64(6))
		assert.DeepEqual(t, c.jobs, []string{"f"})
	})
}

// slowLog delays a page by 2 s for each of its records.
type slowLog struct{ *memlog.Log }

func (l slowLog) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) (external.Page, error) {
	page, err := l.Log.Read(ctx, s, from, n, wait)
	select {
	case <-time.After(time.Duration(len(page.Entries)) * 2 * time.Second):
		return page, err
	case <-ctx.Done():
		return external.Page{}, external.ErrLogDown
	}
}

// A follower must not retry the same page forever if it is too large for the timeout.
func TestFollowerShrinksPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w, c := NewWriter(log, "s", options()), newCollector()
		go w.Run(ctx)
		for range 20 {
			_, err := w.Write(ctx, submit("a"))
			assert.NilError(t, err)
		}
		go func() { _ = Follow(ctx, slowLog{log}, "s", DefaultFollowOptions(), c) }()
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		assert.Equal(t, c.Next(), uint64(21))
	})
}

// A follower must not continue past a record of a newer schema.
func TestFollowerStopsAtNewerSchema(t *testing.T) {
	log := memlog.New(memlog.Options{})
	_, err := log.Append(t.Context(), "s", []byte{0xa1, 0x01, 0x18, 0x63}) // {1: 99}
	assert.NilError(t, err)
	err = Follow(t.Context(), log, "s", DefaultFollowOptions(), newCollector())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Incompatible)
}

// A follower must skip data that is not a record, which may have been appended by mistake and would stop all readers, but
// must not skip a damaged record.
func TestFollowerSkipsForeignEntries(t *testing.T) {
	log := memlog.New(memlog.Options{})
	for _, data := range [][]byte{[]byte(`{"contract":{}}`), {}, {0xa0}, {0xa1, 0x01, 0x00}} {
		_, err := log.Append(t.Context(), "s", data)
		assert.NilError(t, err)
	}
	rec := submit("a")
	rec.Writer, rec.Incarnation, rec.Seq = "e1", 1, 1
	data, err := record.Encode(&rec)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), "s", data)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), "s", []byte{0xa2, 0x01, 0x01, 0x02, 0x05}) // {1: 1, 2: 5}, but the writer must be a text
	assert.NilError(t, err)
	c := newCollector()
	err = Follow(t.Context(), log, "s", DefaultFollowOptions(), c)
	assert.Equal(t, errdefs.KindOf(err), errdefs.Invalid)
	assert.Equal(t, c.skipped, 4)
	assert.DeepEqual(t, c.jobs, []string{"a"})
}

// Snapshots must not use up the append budget of decisions.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100, 5)
		began := time.Now()
		for range 11 {
			assert.NilError(t, b.wait(t.Context(), true))
		}
		assert.Equal(t, time.Since(began), 2*time.Second)
		began = time.Now()
		assert.NilError(t, b.wait(t.Context(), false))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
