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
	m := &s.interference
	if !m.changed || s.now.BootMs-m.storedMs < max(minStoreIntervalMs, m.storedBytes*1000/storeBytesPerSecond) {
		return work.Record{}, false
	}
	value := work.Encode(m.export())
	m.changed, m.storedMs, m.storedBytes = false, s.now.BootMs, int64(len(value))
	return work.Record{Key: work.KeyInterference, Value: value}, true
}

// export returns the stored form of the model.
func (m *interferenceModel) export() *work.Interference {
	out := &work.Interference{BestEffortImages: m.bestEffort.names, LatencyCriticalImages: m.critical.names}
	for _, f := range m.bestEffort.names {
		out.Demand = append(out.Demand, int64(m.demand[f]/1000))
	}
	for si, image := range m.critical.names {
		out.IdleMs = append(out.IdleMs, int64(m.idleTails[image]))
		for fi, f := range m.bestEffort.names {
			if p, ok := m.coefficients[pair{f, image}]; ok {
				out.Slowdowns = append(out.Slowdowns, work.PairSlowdown{BestEffort: fi, LatencyCritical: si,
					Mean: int(math.Round(p.mean / work.MeanUnit)), Variance: int(math.Ceil(p.variance / work.VarianceUnit))})
			}
		}
	}
	return out
}

// ModelRestored is the interference model that an earlier decider stored. It is applied before any job is submitted.
type ModelRestored struct{ Interference *work.Interference }

func (e ModelRestored) apply(s *State) {
	m, stored := &s.interference, e.Interference
	for i, f := range stored.BestEffortImages {
		m.bestEffort.add(f, s.now.BootMs)
		if i < len(stored.Demand) {
			m.demand[f] = float64(stored.Demand[i]) * 1000
		}
	}
	for i, image := range stored.LatencyCriticalImages {
		m.critical.add(image, s.now.BootMs)
		if i < len(stored.IdleMs) && stored.IdleMs[i] > 0 {
			m.idleTails[image] = float64(stored.IdleMs[i])
		}
	}
	for _, p := range stored.Slowdowns {
		if p.BestEffort < 0 || p.BestEffort >= len(stored.BestEffortImages) || p.LatencyCritical < 0 || p.LatencyCritical >= len(stored.LatencyCriticalImages) {
			continue // the record does not name these images
		}
		// A variance of 0 would never be corrected again.
		m.coefficients[pair{stored.BestEffortImages[p.BestEffort], stored.LatencyCriticalImages[p.LatencyCritical]}] = coefficient{
			min(max(float64(p.Mean)*work.MeanUnit, 0), maxCoefficient), max(float64(p.Variance), 1) * work.VarianceUnit}
	}
}
