package forecast

import "math"

const (
	// trendScaleMs is the unit of time of the trend.
	trendScaleMs = 10_000
	// ageDecayMs is the age at which an observation has 1/e of the weight, as loads change slowly.
	ageDecayMs = 25_000
	// binNoise is the usual standard deviation of an observation.
	binNoise = 0.03
	// outlierResidual is the residual at which an observation has half of the weight.
	outlierResidual = 2.5 * binNoise
	// meanStdDev, trendStdDev (for each trendScaleMs) and waveStdDev are the standard deviations of the parameters
	// around the mean load of the fleet, 0 and 0. They keep a fit to a part of a period plausible.
	meanStdDev  = 0.15
	trendStdDev = 0.03
	waveStdDev  = 0.2
	// parameters is the number of parameters: mean, trend, and the harmonic's cosine and sine.
	parameters = 4
)

// prior holds the diagonal that the prior standard deviations add to the normal equations.
var prior = [parameters]float64{binNoise * binNoise / (meanStdDev * meanStdDev), binNoise * binNoise / (trendStdDev * trendStdDev),
	binNoise * binNoise / (waveStdDev * waveStdDev), binNoise * binNoise / (waveStdDev * waveStdDev)}

// fit is the model fitted to the observations up to originMs.
type fit struct {
	valid    bool
	originMs float64
	omega    float64 // angular frequency, per millisecond
	theta    [parameters]float64
	// residual is added to predictions; it decays.
	residual float64
	// level and slope (per millisecond) describe the newest observations without the model.
	level, slope float64
}

// wave returns the value of the model.
func (f *fit) wave(ms float64) float64 {
	t := ms - f.originMs
	sin, cos := math.Sincos(f.omega * t)
	return f.theta[0] + f.theta[1]*min(t, trendScaleMs/2)/trendScaleMs + f.theta[2]*cos + f.theta[3]*sin
}

// at returns the prediction for a time after the origin.
func (f *fit) at(ms float64) float64 {
	v := f.wave(ms)
	if f.residual != 0 {
		v += f.residual * math.Exp(-max(ms-f.originMs, 0)/residualDecayMs)
	}
	return min(max(v, 0), maxLoad)
}

// line returns the newest load, extrapolated by its slope.
func (f *fit) line(ms float64) float64 {
	return min(max(f.level+f.slope*min(max(ms-f.originMs, 0), maxSlopeMs), 0), maxLoad)
}

// setLine sets the level and the slope by the newest observations.
func (f *fit) setLine(bins []bin) {
	n := len(bins)
	f.originMs, f.level = bins[n-1].atMs, bins[n-1].load
	if n >= 3 {
		f.slope = (bins[n-1].load - bins[n-3].load) / max(bins[n-1].atMs-bins[n-3].atMs, 1)
	}
}

// solve fits the model with a period to the observations. Observations that the previous fit did not describe have less
// weight.
func (s *Series) solve(periodMs float64) fit {
	f := fit{valid: true, omega: 2 * math.Pi / periodMs}
	f.setLine(s.bins)
	previous := &s.fits[1]
	var e equations
	for i := range s.bins {
		b := &s.bins[i]
		weight := math.Exp((b.atMs - f.originMs) / ageDecayMs)
		if previous.valid {
			weight *= outlierWeight(b.load - previous.wave(b.atMs))
		}
		e.add(f.row(b.atMs), b.load-s.period.mean, weight)
	}
	f.theta = e.solve()
	f.theta[0] += s.period.mean
	sum, n := 0.0, 0
	for _, b := range s.bins[max(len(s.bins)-2, 0):] {
		r := b.load - f.wave(b.atMs)
		sum += r * outlierWeight(r)
		n++
	}
	f.residual = residualWeight * sum / float64(n)
	return f
}

func outlierWeight(residual float64) float64 {
	r := residual / outlierResidual
	return 1 / (1 + r*r)
}

// row returns the factors of the parameters at a time.
func (f *fit) row(ms float64) [parameters]float64 {
	t := ms - f.originMs
	sin, cos := math.Sincos(f.omega * t)
	return [parameters]float64{1, t / trendScaleMs, cos, sin}
}

// equations are the normal equations of a weighted least squares problem.
type equations struct {
	a      [parameters][parameters]float64 // the lower triangle
	b      [parameters]float64
	square float64 // the weighted sum of squared values
}

// add adds an observation.
func (e *equations) add(row [parameters]float64, value, weight float64) {
	for i, x := range row {
		wx := weight * x
		e.b[i] += wx * value
		for k := 0; k <= i; k++ {
			e.a[i][k] += wx * row[k]
		}
	}
	e.square += weight * value * value
}

// solve returns the parameters, by a Cholesky decomposition of the matrix with the prior added, which is positive
// definite.
func (e *equations) solve() [parameters]float64 {
	l := e.a
	var x [parameters]float64
	for i := range parameters {
		l[i][i] += prior[i]
		for k := 0; k <= i; k++ {
			sum := l[i][k]
			for m := range k {
				sum -= l[i][m] * l[k][m]
			}
			if i == k {
				l[i][i] = math.Sqrt(sum)
			} else {
				l[i][k] = sum / l[k][k]
			}
		}
	}
	for i := range parameters {
		sum := e.b[i]
		for m := range i {
			sum -= l[i][m] * x[m]
		}
		x[i] = sum / l[i][i]
	}
	for i := parameters - 1; i >= 0; i-- {
		sum := x[i]
		for m := i + 1; m < parameters; m++ {
			sum -= l[m][i] * x[m]
		}
		x[i] = sum / l[i][i]
	}
	return x
}
