// Package slopes measures how memory, CPU time, messages and records of each role grow with load, using small deployments
// of stand-ins, and fits a line to each series. docs/CAPACITY.md extrapolates these lines to the users' size in two years.
package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Fit is the result of a linear least-squares regression.
type Fit struct {
	// Intercept is y at x = 0.
	Intercept float64 `json:"intercept"`
	// Slope is the change of y per unit of x.
	Slope float64 `json:"slope"`
}

// Slope is one measured relation between a load and a cost.
type Slope struct {
	// Name is the name under which docs/CAPACITY.md lists the slope.
	Name string `json:"slope"`
	// XUnit and YUnit are the units of the points.
	XUnit string `json:"x_unit"`
	YUnit string `json:"y_unit"`
	// Points are the measurements as pairs of x and y.
	Points [][2]float64 `json:"points"`
	// Fit is the regression line of Points.
	Fit Fit `json:"fit"`
	// Residual is the root mean square error of the fit in YUnit.
	Residual float64 `json:"residual"`
	// Command repeats the measurement.
	Command string `json:"command"`
}

// minPoints is the minimum number of points per slope. Two points always lie on a line, so their residual says nothing
// about the quality of the fit.
const minPoints = 3

// fit computes Fit and Residual from Points.
func (s *Slope) fit() error {
	var x, y []float64
	for _, p := range s.Points {
		x, y = append(x, p[0]), append(y, p[1])
	}
	if len(x) < minPoints || floats.Max(x) == floats.Min(x) {
		return fmt.Errorf("slope %s has %d points, too few or all with the same x; measure at least %d sizes", s.Name, len(x), minPoints)
	}
	s.Fit.Intercept, s.Fit.Slope = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		y[i] -= s.Fit.Intercept + s.Fit.Slope*x[i]
	}
	s.Residual = floats.Norm(y, 2) / math.Sqrt(float64(len(y)))
	return nil
}

// slopeSet collects the slopes of one group in the order of their first points.
type slopeSet struct {
	command string
	slopes  []*Slope
}

// add appends a point to the slope of this name and creates the slope if needed. Units are set by the first point.
func (s *slopeSet) add(name, xUnit, yUnit string, x, y float64) {
	for _, l := range s.slopes {
		if l.Name == name {
			l.Points = append(l.Points, [2]float64{x, y})
			return
		}
	}
	s.slopes = append(s.slopes, &Slope{
		Name: name, XUnit: xUnit, YUnit: yUnit, Command: s.command, Points: [][2]float64{{x, y}},
	})
}

// print fits each slope and writes it as one line of JSON.
func (s *slopeSet) print(out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, l := range s.slopes {
		if err := l.fit(); err != nil {
			return err
		}
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write slope %s: %w", l.Name, err)
		}
	}
	return nil
}
