package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// model is the actual state of the fleet. It applies or drops decisions as a caller does and checks each against the
// rules.
type model struct {
	t       *rapid.T
	s       *State
	now     int64
	workers map[string]record.Resources
	zoneOf  map[string]string
	up      map[string]bool
	out     map[string]bool
	used    map[string]record.Resources
	running map[string]record.Start
	attempt map[string]uint32
	jobs    map[string]record.Job
	order   []string
	state   map[string]string
	sent    []Event
	late    []Event
	// overCommitted is called with a start on a worker without enough free capacity.
	overCommitted func(st record.Start)
	events        []history.Event
}

func newTruth(t *rapid.T) *model {
	m := &model{t: t, s: New(DefaultConfig()), now: 1, workers: map[string]record.Resources{}, zoneOf: map[string]string{}, up: map[string]bool{},
		out: map[string]bool{}, used: map[string]record.Resources{}, running: map[string]record.Start{}, attempt: map[string]uint32{},
		jobs: map[string]record.Job{}, state: map[string]string{}}
	m.overCommitted = func(st record.Start) {
		t.Fatalf("worker %s over-committed: %+v and %+v of %+v", st.Worker, m.used[st.Worker], st.Size, m.workers[st.Worker])
	}
	return m
}

// recordEvent keeps an event for the history checker.
func (m *model) recordEvent(e history.Event) { m.events = append(m.events, e) }

// at returns a time that no other event has, since the checker orders ends before starts of the same time.
func (m *model) at() time.Duration {
	return time.Duration(m.now)*time.Millisecond + time.Duration(len(m.events))
}

// send applies an event and keeps it for a repetition. Events of contracts, zones and workers are not repeated: they
// have no version, and the caller applies them in the order of the log.
func (m *model) send(ev Event) {
	m.s.Apply(m.now, ev)
	m.sent = append(m.sent, ev)
}

func (m *model) tasks(id string, f func(task string)) {
	for i := range m.jobs[id].Tasks {
		f(fmt.Sprintf("%s#%d", id, i))
	}
}

func (m *model) submit() {
	id := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b", "x"}).Draw(m.t, "customer"), len(m.order))
	j := record.Job{ID: id, Customer: id[:1], Kind: rapid.SampledFrom([]record.JobKind{record.BatchJob, record.StandingJob, record.ServiceJob, "bad"}).Draw(m.t, "kind"),
		Class: rapid.SampledFrom([]string{"", "p", "q"}).Draw(m.t, "class"), Tasks: rapid.IntRange(1, 4).Draw(m.t, "tasks"),
		Size: record.Resources{CPUMilli: rapid.Int64Range(-1, 9000).Draw(m.t, "cpu"), MemoryMB: rapid.Int64Range(0, 20_000).Draw(m.t, "memory"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 9}).Draw(m.t, "accelerators")},
		RunMs: rapid.Int64Range(0, 60_000).Draw(m.t, "run"), SubmittedMs: m.now, Urgent: rapid.Bool().Draw(m.t, "urgent"),
		Checkpoint: rapid.Bool().Draw(m.t, "checkpoint")}
	if rapid.Bool().Draw(m.t, "deadline") {
		j.DeadlineMs = m.now + rapid.Int64Range(-10, 100_000).Draw(m.t, "in")
	}
	m.jobs[id] = j
	m.order = append(m.order, id)
	m.state[id] = "live"
	m.tasks(id, func(task string) { m.send(TaskQueued{Job: j, Task: task, NextAttempt: 1}) })
}

// end ends a running attempt. The end and the requeue may reach the policy late, in either order.
func (m *model) end(task string, o record.Outcome) {
	st := m.running[task]
	delete(m.running, task)
	m.used[st.Worker] = m.used[st.Worker].Sub(st.Size)
	m.recordEvent(history.AttemptEnd{At: m.at(), Task: task, Attempt: st.Attempt, Worker: st.Worker, Outcome: o})
	id := task[:len(task)-2]
	events := []Event{TaskEnded{record.End{Task: task, Attempt: st.Attempt, Outcome: o, RanMs: 100}}}
	if o == record.Finished && m.jobs[id].Kind == record.BatchJob {
		m.attempt[task] = 1 << 20
	} else if m.state[id] == "live" {
		events = append(events, TaskQueued{Job: m.jobs[id], Task: task, NextAttempt: st.Attempt + 1, CheckpointMs: 50})
	}
	for _, ev := range events {
		if rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
			m.late = append(m.late, ev)
		} else {
			m.send(ev)
		}
	}
}

func (m *model) decide(drop bool) {
	for _, d := range m.s.Decide(m.now) {
		switch d := d.(type) {
		case StartTask:
			m.check(d.Start)
			if drop && rapid.Bool().Draw(m.t, "drop") {
				continue
			}
			m.running[d.Task], m.attempt[d.Task] = d.Start, d.Attempt
			m.used[d.Worker] = m.used[d.Worker].Add(d.Size)
			m.recordEvent(history.AttemptStart{At: m.at(), Task: d.Task, Attempt: d.Attempt, Worker: d.Worker, Size: d.Size})
			m.send(TaskStarted{d.Start})
		case EvictTask:
			if st, ok := m.running[d.Task]; ok && st.Attempt == d.Attempt && !(drop && rapid.Bool().Draw(m.t, "drop")) {
				m.end(d.Task, record.Checkpointed)
			}
		case RefuseJob:
			if m.state[d.Job] != "live" || d.Reason == "" {
				m.t.Fatalf("refusal of job in state %q: %+v", m.state[d.Job], d)
			}
			m.state[d.Job] = "refused"
			m.send(JobDone{d.Job})
		}
	}
}

// check fails on a start that breaks a rule, even if the start is dropped afterwards.
func (m *model) check(st record.Start) {
	if old, ok := m.running[st.Task]; ok {
		m.t.Fatalf("task %s started on %s while it runs on %s", st.Task, st.Worker, old.Worker)
	}
	if st.Attempt <= m.attempt[st.Task] {
		m.t.Fatalf("attempt %d of %s after attempt %d", st.Attempt, st.Task, m.attempt[st.Task])
	}
	if !m.used[st.Worker].Add(st.Size).Fits(m.workers[st.Worker]) {
		m.overCommitted(st)
	}
	if !m.up[st.Worker] || m.out[m.zoneOf[st.Worker]] {
		m.t.Fatalf("start of %s on %s: up %v, zone out %v", st.Task, st.Worker, m.up[st.Worker], m.out[m.zoneOf[st.Worker]])
	}
	if id := st.Task[:len(st.Task)-2]; m.state[id] != "live" {
		m.t.Fatalf("start of %s of a job that is %s", st.Task, m.state[id])
	}
}

func (m *model) addWorker(id string) {
	zone := "z" + id[1:]
	if _, known := m.workers[id]; !known {
		m.workers[id] = record.Resources{CPUMilli: 8000, MemoryMB: 16_000, Accelerators: int64(id[1]-'0') % 2 * 2}
		m.zoneOf[id] = zone
		m.recordEvent(history.Worker{At: m.at(), ID: id, Zone: zone, Capacity: m.workers[id]})
	}
	m.up[id] = true
	m.s.Apply(m.now, WorkerUp{ID: id, Zone: zone, Rack: "r", Capacity: m.workers[id]})
}

// removeWorker removes a worker whose leases have expired.
func (m *model) removeWorker(id string) {
	m.up[id] = false
	m.s.Apply(m.now, WorkerDown{ID: id})
	for _, task := range m.runningOn(id) {
		m.end(task, record.LeaseExpired)
	}
	m.s.Apply(m.now, WorkerGone{ID: id})
}

func (m *model) runningOn(id string) []string {
	var out []string
	for _, j := range m.order {
		m.tasks(j, func(task string) {
			if st, ok := m.running[task]; ok && (id == "" || st.Worker == id) {
				out = append(out, task)
			}
		})
	}
	return out
}

func (m *model) report(id string) {
	rep := UsageReported{Worker: id, MeasuredMs: m.now - rapid.Int64Range(-1000, 90_000).Draw(m.t, "lag")}
	for _, task := range m.runningOn(id) {
		st := m.running[task]
		rep.Samples = append(rep.Samples, Sample{Task: task, Attempt: st.Attempt, Used: record.Resources{CPUMilli: rapid.Int64Range(-5, 9000).Draw(m.t, "used"), MemoryMB: 100},
			SpeedMilli: rapid.Int64Range(0, 1000).Draw(m.t, "speed"), LatencyP99Us: rapid.Int64Range(0, 100_000).Draw(m.t, "latency")})
	}
	m.send(rep)
}

func (m *model) step() {
	w := fmt.Sprintf("w%d", rapid.IntRange(0, 4).Draw(m.t, "worker"))
	m.now += rapid.Int64Range(0, 8000).Draw(m.t, "pass")
	switch rapid.IntRange(0, 11).Draw(m.t, "event") {
	case 0, 1:
		m.submit()
	case 2:
		m.addWorker(w)
	case 3:
		m.removeWorker(w)
	case 4:
		z := m.zoneOf[w]
		m.out[z] = !m.out[z]
		m.s.Apply(m.now, ZoneChanged{Zone: z, Out: m.out[z]})
	case 5, 6:
		if on := m.runningOn(""); len(on) > 0 {
			m.end(rapid.SampledFrom(on).Draw(m.t, "task"), rapid.SampledFrom([]record.Outcome{record.Finished, record.Failed, record.Stopped, record.NotStarted}).Draw(m.t, "outcome"))
		}
	case 7:
		if len(m.order) > 0 {
			id := rapid.SampledFrom(m.order).Draw(m.t, "job")
			if m.state[id] == "live" {
				m.state[id] = "cancelled"
				m.send(JobCancelled{id})
			}
		}
	case 8:
		if len(m.sent) > 0 {
			m.s.Apply(m.now, rapid.SampledFrom(m.sent).Draw(m.t, "repeated"))
		}
	case 9:
		m.flush(rapid.IntRange(0, len(m.late)).Draw(m.t, "flushed"))
	case 10:
		m.report(w)
	case 11:
		m.s.Apply(m.now, ContractChanged{record.Contract{Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "contract"), MaxTasks: rapid.IntRange(0, 9).Draw(m.t, "max"),
			MaxQueued: 20, Guaranteed: record.Resources{CPUMilli: 6000, MemoryMB: 9000}, Burst: record.Resources{CPUMilli: 40_000, MemoryMB: 80_000, Accelerators: 4}}})
	}
	m.decide(true)
}

func (m *model) flush(n int) {
	late := m.late[:n]
	m.late = append([]Event(nil), m.late[n:]...)
	for i := len(late) - 1; i >= 0; i-- {
		m.send(late[i])
	}
}

// runToCompletion runs all tasks that can run and checks that each job ends in exactly one state.
func (m *model) runToCompletion() {
	m.flush(len(m.late))
	for i := range 5 {
		m.addWorker(fmt.Sprintf("w%d", i))
	}
	for z, out := range m.out {
		if out {
			m.out[z] = false
			m.s.Apply(m.now, ZoneChanged{Zone: z})
		}
	}
	for _, c := range []string{"a", "b"} {
		m.s.Apply(m.now, ContractChanged{record.Contract{Customer: c, MaxTasks: 100, MaxQueued: 100, Burst: record.Resources{CPUMilli: 40_000, MemoryMB: 80_000, Accelerators: 4}}})
	}
	for range 300 {
		m.now += 30_000
		m.decide(false)
		for _, task := range m.runningOn("") {
			id := task[:len(task)-2]
			if m.state[id] != "live" || m.jobs[id].Kind == record.BatchJob {
				m.end(task, record.Finished)
			} else {
				m.s.Apply(m.now, UsageReported{Worker: m.running[task].Worker, MeasuredMs: m.now, Samples: []Sample{{Task: task, Attempt: m.running[task].Attempt, SpeedMilli: 1000, LatencyP99Us: 10}}})
			}
		}
		m.flush(len(m.late))
	}
	for _, id := range m.order {
		waits := m.s.WaitReason(id) != ""
		m.tasks(id, func(task string) {
			_, runs := m.running[task]
			done := m.attempt[task] == 1<<20
			if m.state[id] == "live" && !runs && !done && !waits {
				m.t.Fatalf("task %s of live job neither runs nor waits nor is done", task)
			}
			if m.state[id] == "live" && m.jobs[id].Kind == record.BatchJob && !done && m.jobs[id].Size.Accelerators == 0 {
				m.t.Fatalf("task %s never ran: %s", task, m.s.WaitReason(id))
			}
		})
	}
}

func checkPolicy(t *rapid.T) {
	m := newTruth(t)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		m.step()
	}
	m.runToCompletion()
	if n := m.overCapacity(); n > 0 {
		t.Fatalf("the history checker found %d commitments beyond capacity", n)
	}
}

// overCapacity counts the capacity violations that the history checker reports.
func (m *model) overCapacity() int {
	n := 0
	for _, v := range history.Check(m.events) {
		if v.Rule == history.OverCapacity {
			n++
		}
	}
	return n
}

// Guards against a property test and a history checker that do not detect a policy without the capacity check.
func TestMissingCapacityCheckIsDetected(t *testing.T) {
	for _, mutated := range []bool{false, true} {
		if mutated {
			defer rule.Disable(rule.Capacity)()
		}
		checked, reported := 0, 0
		for seed := range 40 {
			rapid.Custom(func(t *rapid.T) bool {
				m := newTruth(t)
				m.overCommitted = func(record.Start) { checked++ }
				for range 60 {
					m.step()
				}
				reported += m.overCapacity()
				return true
			}).Example(seed)
		}
		t.Logf("capacity check off %v: %d starts without free capacity found by the property test, %d by the history checker", mutated, checked, reported)
		assert.Equal(t, checked > 0, mutated)
		assert.Equal(t, reported > 0, mutated)
	}
}

// Guards against over-commitment, a task in two places, a start in a zone that is out of service, a refusal or start of
// a job that has ended, and a lost job, under dropped decisions and late, repeated and reordered events.
func TestRulesHoldForAnyEvents(t *testing.T) { rapid.Check(t, checkPolicy) }

// FuzzPolicy checks the same rules with inputs that a fuzzer mutates.
func FuzzPolicy(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkPolicy)) }
