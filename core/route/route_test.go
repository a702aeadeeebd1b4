package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/record"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

func at(d time.Duration) clock.Now { return clock.Now{Mono: d} }

func candidates(n int) []*members.Endpoint {
	var list []*members.Endpoint
	for i := range n {
		list = append(list, &members.Endpoint{Announcement: members.Announcement{
			ID: fmt.Sprintf("instance-%02d", i), Zone: fmt.Sprintf("zone-%d", i%3), Service: "fitcheck", Slots: 8, EndpointUp: true,
		}})
	}
	return list
}

// Guards against an outage that ejection itself causes: however many endpoints fail, at least half stay in use.
func TestNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := candidates(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		s := New("zone-0", LeastLoaded)
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			e, ok := s.Pick(at(now), Request{Service: "fitcheck", Candidates: list, Seed: rapid.Uint64().Draw(t, "seed")})
			if !ok {
				t.Fatal("no endpoint although there are candidates")
			}
			s.Done(at(now), e.ID, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), time.Millisecond)
			if n := len(s.ejectedEndpoints(at(now), list)); n > len(list)/2 {
				t.Fatalf("%d of %d ejected", n, len(list))
			}
		}
		for _, st := range s.stats {
			if st.inFlight != 0 {
				t.Fatal("requests in flight after all ended")
			}
		}
	})
}

// Guards against an ejected endpoint that never gets requests again, and against a recovered endpoint that gets a full
// share at once.
func TestEjectionAndSlowStart(t *testing.T) {
	s := New("zone-0", LeastLoaded)
	list := candidates(2)
	for range ejectAfter {
		s.statsFor(list[0].ID).inFlight++
		s.Done(at(time.Minute), list[0].ID, Failed, 0)
	}
	assert.Assert(t, s.ejectedEndpoints(at(time.Minute), list)[list[0].ID])
	back := time.Minute + initialEjection
	assert.Assert(t, !s.ejectedEndpoints(at(back), list)[list[0].ID])
	s.statsFor(list[0].ID).inFlight++
	assert.Assert(t, s.ejectedEndpoints(at(back), list)[list[0].ID], "a second request while the first one probes")
	s.Done(at(back), list[0].ID, Answered, time.Millisecond)
	assert.Assert(t, !s.ejectedEndpoints(at(back), list)[list[0].ID])
	assert.Assert(t, s.score(at(back), list[0], 0) > s.score(at(back+slowStartPeriod), list[0], 0))
}

// Guards against shares that sum up to more than the limit when all entries know the same demands.
func TestSharesSumUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 6).Draw(t, "demands")
		limit := rapid.Float64Range(1, 1000).Draw(t, "limit")
		sum, asked := 0.0, 0.0
		for i, mine := range demands {
			var others []float64
			others = append(append(others, demands[:i]...), demands[i+1:]...)
			sum += fairShare(limit, mine, others, len(demands))
			asked += mine
		}
		if sum > limit*1.0001 || sum < math.Min(limit, asked)*0.9999 {
			t.Fatalf("shares sum up to %v of %v", sum, limit)
		}
	})
}

// Guards against a rate over all entries that exceeds the limit by more than 10% and one burst, whatever part of the
// requests each entry gets, and against refusals below the limit.
func TestRateOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, seconds, limit, burst = 3, 12, 300, 60
		contract := record.Contract{Customer: "hartwell", Priority: record.Critical, RequestsPerSecond: limit, RequestBurst: burst, Concurrency: 1 << 20}
		offered := rapid.SliceOfN(rapid.IntRange(0, 600), entries, entries).Draw(t, "offered")
		var states []*State
		for range entries {
			states = append(states, New("zone-0", LeastLoaded))
		}
		admitted, total := 0, 0
		for ms := range seconds * 1000 {
			now := at(time.Duration(ms) * time.Millisecond)
			if ms%500 == 0 {
				for i, s := range states {
					use := s.ReportUse(now)
					for j, peer := range states {
						if i != j {
							peer.SetPeerUse(now, fmt.Sprint(i), use)
						}
					}
				}
			}
			for i, s := range states {
				for range (ms+1)*offered[i]/1000 - ms*offered[i]/1000 {
					// The entries need the first two seconds to learn each other's demands.
					counted := ms >= 2000
					if counted {
						total++
					}
					if s.Admit(now, Arrival{Contract: contract, Entries: entries}) == "" {
						s.Release("hartwell", "")
						if counted {
							admitted++
						}
					}
				}
			}
		}
		maxAdmitted := float64(limit*(seconds-2))*1.1 + burst
		if float64(admitted) > maxAdmitted {
			t.Fatalf("admitted %d, at most %v; offered %v", admitted, maxAdmitted, offered)
		}
		if minAdmitted := 0.9 * math.Min(float64(total), limit*(seconds-2)); float64(admitted) < minAdmitted {
			t.Fatalf("admitted %d, at least %v; offered %v", admitted, minAdmitted, offered)
		}
	})
}

// Guards against shedding critical requests before best-effort ones, and a caller that starves the customer's others.
func TestShedding(t *testing.T) {
	s := New("zone-0", LeastLoaded)
	c := record.Contract{Customer: "hartwell", Priority: record.BestEffort, RequestsPerSecond: 1000, RequestBurst: 1000, Concurrency: 8}
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Busy: shedBestEffort}), Shed)
	c.Priority = record.Critical
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Busy: shedStandard}), Denial(""))
	s.Release("hartwell", "")
	for range 6 {
		assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Caller: "clinic"}), Denial(""))
	}
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Caller: "kerbside"}), Denial(""))
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Caller: "clinic"}), OverShare)
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Caller: "kerbside"}), Denial(""))
	assert.Equal(t, s.Admit(at(0), Arrival{Contract: c, Entries: 1, Caller: "desk"}), OverConcurrency)
}

// Guards against a full endpoint that counts as one with free slots because the weight of its load report has decayed a
// little, so that requests queue there while other zones have free slots.
func TestFullEndpointHasNoFreeCapacity(t *testing.T) {
	s := New("zone-0", LeastLoaded)
	list := candidates(2)
	s.statsFor(list[0].ID).inFlight = 6
	s.Report(at(time.Minute), list[0].ID, 8, 0, 0)
	later := at(time.Minute + loadReportTTL/10)
	for seed := range uint64(20) {
		got := s.eligible(later, Request{Candidates: list, Seed: seed})
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].ID, list[1].ID)
	}
}

// Guards against an endpoint without answers that gets all requests, because its unknown latency counts as one near zero
// and outweighs the slow start.
func TestUnknownLatency(t *testing.T) {
	s := New("zone-0", LeastLoaded)
	list := candidates(2)
	list[1].Zone, list[1].Since = list[0].Zone, time.Minute
	s.statsFor(list[0].ID).addSample(100 * time.Millisecond)
	now := at(time.Minute + slowStartPeriod/2)
	for seed := range uint64(6) {
		_, ok := s.Pick(now, Request{Candidates: list, Seed: seed})
		assert.Assert(t, ok)
	}
	// Halfway through the slow start the new endpoint has half the weight: two of six requests.
	assert.Equal(t, s.statsFor(list[0].ID).inFlight, 4)
	assert.Equal(t, s.statsFor(list[1].ID).inFlight, 2)
}
