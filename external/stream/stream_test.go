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

// collector is a Handler that keeps what it was given.
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

// Guards against a record that takes effect twice, or is lost, when the log's reply was lost.
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

// Guards against a write that hangs or lies while the log is down, hangs, or the writer stops.
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

// Guards against a run that goes on writing although readers drop its records.
func TestSupersededWriter(t *testing.T) {
	w := NewWriter(memlog.New(memlog.Options{}), "s", options())
	w.Supersede()
	_, err := w.Write(t.Context(), submit("a"))
	assert.Assert(t, errors.Is(err, external.ErrNotAppended))
}

// Guards against a reader that goes on from records that are kept although older ones are missing.
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
		for _, p := range Split(6, make([]byte, MaxPiece+1)) {
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

// slowLog needs time for each record of a page.
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

// Guards against a follower that asks for the same too large page for ever.
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

// Guards against a reader that goes on past a record of a newer schema.
func TestFollowerStopsAtNewerSchema(t *testing.T) {
	log := memlog.New(memlog.Options{})
	_, err := log.Append(t.Context(), "s", []byte{0xa1, 0x01, 0x18, 0x63}) // {1: 99}
	assert.NilError(t, err)
	err = Follow(t.Context(), log, "s", DefaultFollowOptions(), newCollector())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Incompatible)
}

// Guards against readers that all stop at something that was appended to a stream by mistake, and against one that stops
// silently skipping at a damaged record.
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
	_, err = log.Append(t.Context(), "s", []byte{0xa2, 0x01, 0x01, 0x02, 0x05}) // {1: 1, 2: 5}, but the writer is a text
	assert.NilError(t, err)
	c := newCollector()
	err = Follow(t.Context(), log, "s", DefaultFollowOptions(), c)
	assert.Equal(t, errdefs.KindOf(err), errdefs.Invalid)
	assert.Equal(t, c.skipped, 4)
	assert.DeepEqual(t, c.jobs, []string{"a"})
}

// Guards against snapshots that crowd out decisions.
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
