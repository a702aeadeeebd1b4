package forecast

import "math"

const (
	// minPeriodMs and maxPeriodMs bound the period.
	minPeriodMs, maxPeriodMs = 4000.0, 40_000.0
	// periodCandidates is the number of periods that are compared, in equal ratios of 1.04. The period is interpolated
	// between them.
	periodCandidates = 60
	// scoreIntervalMs is the time between two comparisons of the candidates by one series, which cost as much as some
	// tens of fits.
	scoreIntervalMs = 2000
	// minScoreBins is the number of observations from which on a series is compared with the candidates.
	minScoreBins = 8
	// scoreDecayMs is the age at which the evidence of a series has 1/e of the weight.
	scoreDecayMs = 8000
	// minEvidence is the mean logarithm, for each observation, of the ratio of the variance around the mean to that
	// around the harmonic from which on there is a period: 0.7 is half of the variance.
	minEvidence = 0.7
	// varianceFloor is the variance that is added to both. It bounds the evidence of a single series.
	varianceFloor = 0.015 * 0.015
	// meanWeight is the weight of an observation in the mean load of the fleet.
	meanWeight = 0.005
	// defaultMean is the mean load before there are observations.
	defaultMean = 0.45
)

// Period estimates the period that the loads of a fleet have in common. Each series is too short and noisy to show it
// soon, so their evidence is added up.
type Period struct {
	// scores holds the evidence for each candidate, observations the number of observations that it is based on, both
	// decaying from atMs.
	scores       [periodCandidates]float64
	observations float64
	atMs         int64
	// ms is the period in milliseconds; 0 if there is none.
	ms float64
	// mean is the mean load of the fleet.
	mean float64
}

// NewPeriod returns an estimator without evidence.
func NewPeriod() *Period { return &Period{mean: defaultMean} }

// Ms returns the period in milliseconds, 4,000 to 40,000, and whether there is evidence for one.
func (p *Period) Ms() (float64, bool) { return p.ms, p.ms > 0 }

// observe adds an observation to the mean load of the fleet.
func (p *Period) observe(load float64) { p.mean += meanWeight * (load - p.mean) }

// candidate returns the period of a candidate; i may lie between two of them.
func candidate(i float64) float64 {
	return minPeriodMs * math.Pow(maxPeriodMs/minPeriodMs, i/(periodCandidates-1))
}

// seriesScores is the evidence of one series.
type seriesScores struct {
	scores       [periodCandidates]float64
	observations float64
}

// scores compares the candidates by how much less the observations vary around the harmonic than around their mean.
func (s *Series) scores() *seriesScores {
	r := &seriesScores{observations: float64(len(s.bins))}
	mean := 0.0
	for _, b := range s.bins {
		mean += b.load / r.observations
	}
	variance := 0.0
	for _, b := range s.bins {
		variance += (b.load - mean) * (b.load - mean) / r.observations
	}
	f := fit{originMs: s.bins[len(s.bins)-1].atMs}
	for i := range periodCandidates {
		f.omega = 2 * math.Pi / candidate(float64(i))
		var e equations
		for _, b := range s.bins {
			e.add(f.row(b.atMs), b.load-mean, 1)
		}
		theta := e.solve()
		left := e.square
		for k, x := range theta {
			left -= x * e.b[k]
		}
		r.scores[i] = r.observations * math.Log((variance+varianceFloor)/(max(left, 0)/r.observations+varianceFloor))
	}
	return r
}

// addScores adds the evidence of a series and estimates the period again.
func (p *Period) addScores(nowMs int64, r *seriesScores) {
	decay := math.Exp(-float64(max(nowMs-p.atMs, 0)) / scoreDecayMs)
	p.atMs = max(nowMs, p.atMs)
	best := 0
	for i := range p.scores {
		p.scores[i] = p.scores[i]*decay + r.scores[i]
		if p.scores[i] > p.scores[best] {
			best = i
		}
	}
	p.observations = p.observations*decay + r.observations
	if p.scores[best] < minEvidence*p.observations {
		p.ms = 0
		return
	}
	at := float64(best)
	if best > 0 && best < periodCandidates-1 {
		// The vertex of the parabola through the best candidate and its neighbours.
		low, high := p.scores[best-1], p.scores[best+1]
		if bend := low - 2*p.scores[best] + high; bend < 0 {
			at += (low - high) / (2 * bend)
		}
	}
	p.ms = candidate(at)
}
