// Package modelcheck runs the reducers of entries and side processes in a simulation of log, network and workers under a
// virtual clock, with random faults, and checks the resulting history with testkit/history.
package modelcheck

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// node is a process that can be paused, restarted and partitioned. Its clock may run fast or slow.
type node struct {
	id          string
	run         int
	pausedUntil time.Duration
	start       time.Duration
	rate        float64
}

// local returns the reading of the node's monotonic clock at a true time.
func (n *node) local(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.start) * n.rate)
}

// trueTime returns the true time at which the node's monotonic clock reads local.
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

// stored is a record on the simulated log.
type stored struct {
	rec *record.Record
	at  time.Duration
}

// world is the state of one run of the simulation: virtual clock, event queue, network, log, processes and history.
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
	// sent maps change ids to the time at which the change was sent.
	sent map[string]time.Duration
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), streams: map[string][]stored{}, cuts: map[[2]string]time.Duration{},
		logNode: &node{id: "log", rate: 1}, accepted: map[string]bool{}, sent: map[string]time.Duration{},
	}
}

// after schedules do to run after the delay.
func (w *world) after(d time.Duration, do func()) {
	w.nextSeq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.nextSeq, do})
}

// schedule runs do on a node after the delay. It is postponed while the node is paused and dropped if the node restarts.
func (w *world) schedule(n *node, d time.Duration, do func()) { w.scheduleRun(n, n.run, d, do) }

func (w *world) scheduleRun(n *node, run int, d time.Duration, do func()) {
	w.after(d, func() { w.runOnNode(n, run, do) })
}

func (w *world) runOnNode(n *node, run int, do func()) {
	switch {
	case n.run != run:
	case w.now < n.pausedUntil:
		w.after(n.pausedUntil-w.now, func() { w.runOnNode(n, run, do) })
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

func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func cutKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// call sends a request and its reply over the network. The reply is dropped if the sender restarted meanwhile.
func (w *world) call(from, to *node, handle func() (reply func())) {
	run := from.run
	w.send(from, to, to.run, func() {
		if reply := handle(); reply != nil {
			w.send(to, from, run, reply)
		}
	})
}

// send delivers a message to one run of a node. It may be lost, delayed or duplicated.
func (w *world) send(from, to *node, run int, do func()) {
	if w.now < w.cuts[cutKey(from.id, to.id)] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.dup {
		copies = 2
	}
	for range copies {
		d := w.randomDuration(time.Millisecond, 30*time.Millisecond)
		if w.rng.Float64() < w.slow {
			d += w.randomDuration(0, 3*time.Second)
		}
		w.scheduleRun(to, run, d, do)
	}
}

// appendTo appends a record to a stream of the log. It returns false if the log is down.
func (w *world) appendTo(stream string, rec *record.Record) (uint64, bool) {
	if w.now < w.logDown {
		return 0, false
	}
	copied := *rec
	w.streams[stream] = append(w.streams[stream], stored{&copied, w.now})
	return uint64(len(w.streams[stream])), true
}

func (w *world) addEvent(e history.Event) { w.events = append(w.events, e) }

// writer appends one record at a time and retries it until its outcome is known, as stream.Writer does.
type writer struct {
	w           *world
	n           *node
	stream      string
	id          string
	incarnation uint64
	seq         uint64
	busy        bool
	waiting     []func()
}

// write appends a record and calls done with its offset, or with false if the record certainly was not appended.
func (wr *writer) write(rec record.Record, done func(uint64, bool)) {
	if wr.busy {
		wr.waiting = append(wr.waiting, func() { wr.write(rec, done) })
		return
	}
	wr.busy = true
	rec.Writer, rec.Incarnation, rec.Seq = wr.id, wr.incarnation, wr.seq+1
	resolved, unknown := false, false
	finish := func(offset uint64, ok bool) {
		if resolved || (!ok && unknown) {
			return
		}
		resolved, wr.busy = true, false
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
		if resolved {
			return
		}
		wr.w.call(wr.n, wr.w.logNode, func() func() {
			offset, ok := wr.w.appendTo(wr.stream, &rec)
			return func() { finish(offset, ok) }
		})
		wr.w.schedule(wr.n, 500*time.Millisecond, func() { unknown = true; try() })
	}
	try()
}
