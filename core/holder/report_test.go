package holder

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

func drawSet(t *rapid.T, name string) map[string]uint32 {
	return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "ab", "a#1", "a#11", "b#1", ""}), rapid.Uint32Range(1, 3), 0, 5).Draw(t, name)
}

func listOf(set map[string]uint32) []AttemptRef {
	var list []AttemptRef
	for task, attempt := range set {
		list = append(list, AttemptRef{task, attempt})
	}
	return list
}

// Guards against leases renewed for a set of attempts that differs from the worker's: digests must be equal for equal
// sets in any order, and differ otherwise, even where the bytes of names and attempt numbers could run together.
func TestDigestDistinguishesSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSet(t, "a"), drawSet(t, "b")
		equal := fmt.Sprint(a) == fmt.Sprint(b)
		if got := Digest(listOf(a)) == Digest(listOf(b)); got != equal {
			t.Fatalf("sets %v and %v: digests equal is %v", a, b, got)
		}
	})
}

func usage(speed int64) []external.TaskUsage {
	return []external.TaskUsage{{Task: "a", Attempt: 1, AgeMs: 500, Used: record.Resources{CPUMilli: 1000, MemoryMB: 100}, SpeedMilli: speed}}
}

func statusOf(nowMs int64, u []external.TaskUsage) external.WorkerStatus {
	return external.WorkerStatus{
		NowMs: nowMs, Usage: u,
		Tasks: []external.TaskStatus{{TaskSpec: external.TaskSpec{Task: "a", Attempt: 1}, State: external.TaskRunning}},
	}
}

// Guards against measurements that are never sent again after a lost reply, that are left out although they changed, and
// that are left out for ever because they don't change.
func TestReportOmitsAcknowledged(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before is the speed that was sent to the decider at 0 ms, now the speed at nowMs.
		before, now, nowMs int64
		lost, unknown      bool
		wantSent           int
		wantPartial        bool
	}{
		{"unchanged", 1000, 1000, 2000, false, false, 0, true},
		{"moved by 5%", 1000, 950, 2000, false, false, 0, true},
		{"moved by more than 5%", 1000, 949, 2000, false, false, 1, true},
		{"stopped", 1000, 0, 2000, false, false, 1, true},
		{"moved from nothing", 0, 1, 2000, false, false, 1, true},
		{"older than 10 s", 1000, 1000, 10_000, false, false, 1, true},
		{"reply lost", 1000, 1000, 2000, true, false, 1, true},
		{"decider does not know", 1000, 1000, 2000, false, true, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New()
			known := Reply{Epoch: 1, HeldKnown: true, UsageKnown: true}
			p := s.Begin(statusOf(-1, nil))
			assert.Equal(t, s.Report(p).UsagePartial, false)
			known.Sequence = p.Sequence
			assert.Equal(t, s.Receive(p, known).Refused, "")
			p = s.Begin(statusOf(0, usage(tc.before)))
			assert.Equal(t, len(s.Report(p).Usage), 1)
			if !tc.lost {
				known.Sequence, known.UsageKnown = p.Sequence, !tc.unknown
				assert.Equal(t, s.Receive(p, known).Refused, "")
			}
			r := s.Report(s.Begin(statusOf(tc.nowMs, usage(tc.now))))
			assert.Equal(t, len(r.Usage), tc.wantSent)
			assert.Equal(t, r.UsagePartial, tc.wantPartial)
		})
	}
}

// Guards against measurements of different ages that are reported with a common age.
func TestReportSendsAllWhenAgesDiffer(t *testing.T) {
	s := New()
	p := s.Begin(statusOf(0, usage(1000)))
	s.Report(p)
	s.Receive(p, Reply{Epoch: 1, Sequence: p.Sequence, HeldKnown: true, UsageKnown: true})
	r := s.Report(s.Begin(statusOf(1000, append(usage(1000), external.TaskUsage{Task: "b", Attempt: 1, AgeMs: 900}))))
	assert.Equal(t, r.UsagePartial, false)
	assert.Equal(t, len(r.Usage), 2)
}

// Guards against a list of attempts that is left out before a decider acknowledged it, and against renewed leases of
// attempts that the poll did not report as running.
func TestRenewedAllCoversThePollOnly(t *testing.T) {
	s := New()
	status := statusOf(1000, nil)
	status.Tasks = append(status.Tasks, external.TaskStatus{TaskSpec: external.TaskSpec{Task: "b", Attempt: 2}, State: external.TaskEnded})
	p := s.Begin(status)
	assert.Equal(t, s.Report(p).ByDigest, false)
	old, late := p, Reply{Epoch: 1, Sequence: p.Sequence, LeaseMs: 10_000, RenewedAll: true, HeldKnown: true}
	p = s.Begin(status)
	assert.Equal(t, s.Report(p).ByDigest, false, "the first reply was lost")
	assert.Assert(t, s.Receive(old, late).Refused != "", "a late reply renews nothing")
	late.Sequence = p.Sequence
	e := s.Receive(p, late)
	assert.DeepEqual(t, e.Renew, []external.Lease{{Task: "a", Attempt: 1, ExpiresMs: 11_000}})
	assert.Assert(t, s.Receive(p, late).Refused != "", "a repeated reply renews nothing")
	r := s.Report(s.Begin(status))
	assert.Equal(t, r.ByDigest, true)
	assert.Equal(t, r.HeldDigest, Digest([]AttemptRef{{"a", 1}}))
	assert.Equal(t, len(r.Held), 0)
}
