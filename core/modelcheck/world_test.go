// Package modelcheck runs the reducers of entries and side processes against a modelled log, network and workers under
// a virtual clock, with random faults, and checks the history with testkit/history.
package modelcheck

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// node is something that can be paused, restarted and cut off. Its clock may run at another rate.
type node struct {
	id          string
	run         int
	pausedUntil time.Duration
	start       time.Duration
	rate        float64
}

// local returns the node's monotonic clock at a true time.
func (n *node) local(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.start) * n.rate)
}

// trueTime returns the true time at which the node's clock shows local.
func (n *node) trueTime(local time.Duration) time.Duration {
	return n.start + time.Duration(float64(local)/n.rate)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// stored is a record on the modelled log.
type stored struct {
	rec *record.Record
	at  time.Duration
}

// world holds everything that happens in one run.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	queue   eventHeap
	nextSeq int

	logNode  *node
	streams  map[string][]stored
	logDown  time.Duration
	loss     float64
	dup      float64
	slow     float64
	cuts     map[[2]string]time.Duration
	entries  []*entryNode
	sides    []*sideNode
	events   []history.Event
	accepted map[string]bool
	changes  int
	// sent holds when changes were sent, by id.
	sent map[string]time.Duration
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), streams: map[string][]stored{}, cuts: map[[2]string]time.Duration{},
		logNode: &node{id: "log", rate: 1}, accepted: map[string]bool{}, sent: map[string]time.Duration{},
	}
}

// after runs do at a later time.
func (w *world) after(d time.Duration, do func()) {
	w.nextSeq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.nextSeq, do})
}

// on runs do on a node: not while the node is paused, and not if it was restarted.
func (w *world) on(n *node, d time.Duration, do func()) { w.onRun(n, n.run, d, do) }

func (w *world) onRun(n *node, run int, d time.Duration, do func()) {
	w.after(d, func() { w.enter(n, run, do) })
}

func (w *world) enter(n *node, run int, do func()) {
	switch {
	case n.run != run:
	case w.now < n.pausedUntil:
		w.after(n.pausedUntil-w.now, func() { w.enter(n, run, do) })
	default:
		do()
	}
}

func (w *world) runUntil(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = t
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func cutKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// ask passes a question and its answer. The answer reaches only the run of the process that asked.
func (w *world) ask(from, to *node, question func() (answer func())) {
	run := from.run
	w.send(from, to, to.run, func() {
		if answer := question(); answer != nil {
			w.send(to, from, run, answer)
		}
	})
}

// send passes a message to a run of a node: it may be lost, delayed or repeated.
func (w *world) send(from, to *node, run int, do func()) {
	if w.now < w.cuts[cutKey(from.id, to.id)] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.dup {
		copies = 2
	}
	for range copies {
		d := w.between(time.Millisecond, 30*time.Millisecond)
		if w.rng.Float64() < w.slow {
			d += w.between(0, 3*time.Second)
		}
		w.onRun(to, run, d, do)
	}
}

// appendTo appends at the log. The result is false if the log is down.
func (w *world) appendTo(stream string, rec *record.Record) (uint64, bool) {
	if w.now < w.logDown {
		return 0, false
	}
	copied := *rec
	w.streams[stream] = append(w.streams[stream], stored{&copied, w.now})
	return uint64(len(w.streams[stream])), true
}

func (w *world) note(e history.Event) { w.events = append(w.events, e) }

// writer appends one record at a time and repeats it until its outcome is known, as stream.Writer does.
type writer struct {
	w       *world
	n       *node
	stream  string
	id      string
	inc     uint64
	seq     uint64
	busy    bool
	waiting []func()
}

// write appends and calls done with the offset, or with false if the record certainly is not appended.
func (wr *writer) write(rec record.Record, done func(uint64, bool)) {
	if wr.busy {
		wr.waiting = append(wr.waiting, func() { wr.write(rec, done) })
		return
	}
	wr.busy = true
	rec.Writer, rec.Incarnation, rec.Seq = wr.id, wr.inc, wr.seq+1
	settled, unknown := false, false
	finish := func(offset uint64, ok bool) {
		if settled || (!ok && unknown) {
			return
		}
		settled, wr.busy = true, false
		if ok {
			wr.seq++
		}
		done(offset, ok)
		if len(wr.waiting) > 0 && !wr.busy {
			next := wr.waiting[0]
			wr.waiting = wr.waiting[1:]
			next()
		}
	}
	var try func()
	try = func() {
		if settled {
			return
		}
		wr.w.ask(wr.n, wr.w.logNode, func() func() {
			offset, ok := wr.w.appendTo(wr.stream, &rec)
			return func() { finish(offset, ok) }
		})
		wr.w.on(wr.n, 500*time.Millisecond, func() { unknown = true; try() })
	}
	try()
}
