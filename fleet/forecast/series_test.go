package forecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// feed adds samples every 30 ms from a time on, with noise and one outlier in fifteen, and returns the time of the last.
func feed(s *Series, rng *rand.Rand, fromMs, durationMs int64, load func(ms int64) float64) int64 {
	now := fromMs
	for ; now < fromMs+durationMs; now += 30 {
		v := load(now) + 0.02*rng.NormFloat64()
		if rng.IntN(15) == 0 {
			v *= 1.5
		}
		s.Add(now, v)
	}
	return now
}

func wave(ms int64) float64 { return 0.45 + 0.225*math.Sin(2*math.Pi*float64(ms)/14_000) }

// Guards against a forecast by a wave that has ended: after a jump of the load the newest load is used at once, and a
// forecast again when it fits.
func TestJumpFallsBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	s := NewSeries(NewPeriod())
	now := feed(s, rng, 1000, 40_000, wave)
	assert.Assert(t, s.Usable())
	const level = 0.9
	after := func(int64) float64 { return level }
	for until := now + 3000; now < until && s.Usable(); {
		now = feed(s, rng, now, 300, after)
	}
	_, ok := s.At(now + 500)
	assert.Assert(t, !ok, "the forecast of the wave is still used 3 s after its end")
	now = feed(s, rng, now, 1200, after)
	load, _ := s.At(now + 500)
	assert.Assert(t, math.Abs(load-level) < 0.05, "%.3f after a jump to %.2f", load, level)
}

// Guards against a period that is found in noise: the load of a job may be constant.
func TestConstantLoadHasNoPeriod(t *testing.T) {
	p := NewPeriod()
	s := NewSeries(p)
	now := feed(s, rand.New(rand.NewPCG(4, 1)), 1000, 60_000, func(int64) float64 { return 0.4 })
	_, ok := p.Ms()
	assert.Assert(t, !ok)
	load, ok := s.At(now + 500)
	assert.Assert(t, !ok && math.Abs(load-0.4) < 0.03, "%.3f", load)
}

// Guards against jobs that run for half of their time without a forecast: the period of the others serves a new one.
func TestNewSeriesUsesPeriodOfFleet(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	p := NewPeriod()
	now := feed(NewSeries(p), rng, 1000, 30_000, wave)
	s := NewSeries(p)
	now = feed(s, rng, now, 6000, wave)
	load, ok := s.At(now + 1000)
	assert.Assert(t, ok && math.Abs(load-wave(now+1000)) < 0.06, "%.3f, expected %.3f", load, wave(now+1000))
}
