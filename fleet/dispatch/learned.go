package dispatch

import (
	"math"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// keepEveryMs is the least time between two records of what was learned; a decider that lost so much learns it again
	// within a few reports.
	keepEveryMs = 3000
	// keepBytesPerSecond bounds the bytes of these records: a fifth of what a daemon may spend on control.
	keepBytesPerSecond = 1000
)

// keepLearned returns a record of what was learned, if one is due.
func (s *State) keepLearned() (work.Record, bool) {
	in := &s.interference
	if !in.changed || s.now.BootMs-in.storedMs < max(keepEveryMs, in.storedBytes*1000/keepBytesPerSecond) {
		return work.Record{}, false
	}
	value := work.Encode(in.export())
	in.changed, in.storedMs, in.storedBytes = false, s.now.BootMs, int64(len(value))
	return work.Record{Key: work.KeyInterference, Value: value}, true
}

// export returns what was learned in its stored form.
func (in *interference) export() *work.Interference {
	out := &work.Interference{Fillers: in.fills.names, Serving: in.serves.names}
	for _, f := range in.fills.names {
		out.Demand = append(out.Demand, int64(in.demand[f]/1000))
	}
	for si, image := range in.serves.names {
		out.IdleMs = append(out.IdleMs, int64(in.idle[image]))
		for fi, f := range in.fills.names {
			if p, ok := in.pressure[pair{f, image}]; ok {
				out.Pressures = append(out.Pressures, work.PairPressure{Filler: fi, Serving: si,
					Mean: int(math.Round(p.mean / work.MeanUnit)), Variance: int(math.Ceil(p.variance / work.VarianceUnit))})
			}
		}
	}
	return out
}

// Learned is what an earlier decider learned. It is taken before jobs are.
type Learned struct{ Interference *work.Interference }

func (e Learned) apply(s *State) {
	in, l := &s.interference, e.Interference
	for i, f := range l.Fillers {
		in.fills.add(f, s.now.BootMs)
		if i < len(l.Demand) {
			in.demand[f] = float64(l.Demand[i]) * 1000
		}
	}
	for i, image := range l.Serving {
		in.serves.add(image, s.now.BootMs)
		if i < len(l.IdleMs) && l.IdleMs[i] > 0 {
			in.idle[image] = float64(l.IdleMs[i])
		}
	}
	for _, p := range l.Pressures {
		if p.Filler < 0 || p.Filler >= len(l.Fillers) || p.Serving < 0 || p.Serving >= len(l.Serving) {
			continue // a pair of images that the record does not name says nothing
		}
		// A variance of nought would never be corrected again.
		in.pressure[pair{l.Fillers[p.Filler], l.Serving[p.Serving]}] = pressure{
			min(max(float64(p.Mean)*work.MeanUnit, 0), pressMost), max(float64(p.Variance), 1) * work.VarianceUnit}
	}
}
