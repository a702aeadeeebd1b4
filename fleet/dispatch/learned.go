package dispatch

import (
	"math"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// minStoreIntervalMs is the minimum time between two records of the model. A decider that loses that much relearns
	// it within a few reports.
	minStoreIntervalMs = 3000
	// storeBytesPerSecond bounds the bytes of these records: a fifth of what a process may spend on control traffic.
	storeBytesPerSecond = 1000
)

// interferenceRecord returns a record of the model if one is due.
func (s *State) interferenceRecord() (work.Record, bool) {
	in := &s.interference
	if !in.changed || s.now.BootMs-in.storedMs < max(minStoreIntervalMs, in.storedBytes*1000/storeBytesPerSecond) {
		return work.Record{}, false
	}
	value := work.Encode(in.export())
	in.changed, in.storedMs, in.storedBytes = false, s.now.BootMs, int64(len(value))
	return work.Record{Key: work.KeyInterference, Value: value}, true
}

// export returns the stored form of the model.
func (in *interferenceModel) export() *work.Interference {
	out := &work.Interference{Fillers: in.bestEffort.names, Serving: in.critical.names}
	for _, f := range in.bestEffort.names {
		out.Demand = append(out.Demand, int64(in.demand[f]/1000))
	}
	for si, image := range in.critical.names {
		out.IdleMs = append(out.IdleMs, int64(in.idleTails[image]))
		for fi, f := range in.bestEffort.names {
			if p, ok := in.coefficients[pair{f, image}]; ok {
				out.Pressures = append(out.Pressures, work.PairPressure{Filler: fi, Serving: si,
					Mean: int(math.Round(p.mean / work.MeanUnit)), Variance: int(math.Ceil(p.variance / work.VarianceUnit))})
			}
		}
	}
	return out
}

// Learned is the interference model that an earlier decider stored. It is applied before any job is submitted.
type Learned struct{ Interference *work.Interference }

func (e Learned) apply(s *State) {
	in, l := &s.interference, e.Interference
	for i, f := range l.Fillers {
		in.bestEffort.add(f, s.now.BootMs)
		if i < len(l.Demand) {
			in.demand[f] = float64(l.Demand[i]) * 1000
		}
	}
	for i, image := range l.Serving {
		in.critical.add(image, s.now.BootMs)
		if i < len(l.IdleMs) && l.IdleMs[i] > 0 {
			in.idleTails[image] = float64(l.IdleMs[i])
		}
	}
	for _, p := range l.Pressures {
		if p.Filler < 0 || p.Filler >= len(l.Fillers) || p.Serving < 0 || p.Serving >= len(l.Serving) {
			continue // the record does not name these images
		}
		// A variance of 0 would never be corrected again.
		in.coefficients[pair{l.Fillers[p.Filler], l.Serving[p.Serving]}] = coefficient{
			min(max(float64(p.Mean)*work.MeanUnit, 0), maxCoefficient), max(float64(p.Variance), 1) * work.VarianceUnit}
	}
}
