// Package slopes measures how memory, processor time, messages and records of each role grow with its load, with small
// stand-ins, and fits lines to the measurements. docs/CAPACITY.md works out the users' size in two years from them.
package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Fit is a line fitted by least squares.
type Fit struct {
	// Intercept is y at x = 0.
	Intercept float64 `json:"intercept"`
	// Slope is the change of y per unit of x.
	Slope float64 `json:"slope"`
}

// Slope is one measured line.
type Slope struct {
	// Name names the line as docs/CAPACITY.md does.
	Name string `json:"slope"`
	// XUnit and YUnit are the units of the points.
	XUnit string `json:"x_unit"`
	YUnit string `json:"y_unit"`
	// Points are the measurements as x, y.
	Points [][2]float64 `json:"points"`
	// Fit is the line through the points.
	Fit Fit `json:"fit"`
	// Residual is the root mean square distance of the points from the line, in YUnit.
	Residual float64 `json:"residual"`
	// Command measures the line again.
	Command string `json:"command"`
}

// minPoints is the least number of sizes per line; two points always fit a line and say nothing about its quality.
const minPoints = 3

// fit sets Fit and Residual from Points.
func (s *Slope) fit() error {
	var x, y []float64
	for _, p := range s.Points {
		x, y = append(x, p[0]), append(y, p[1])
	}
	if len(x) < minPoints || floats.Max(x) == floats.Min(x) {
		return fmt.Errorf("slope %s has %d points over no range of x; measure at least %d sizes", s.Name, len(x), minPoints)
	}
	s.Fit.Intercept, s.Fit.Slope = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		y[i] -= s.Fit.Intercept + s.Fit.Slope*x[i]
	}
	s.Residual = floats.Norm(y, 2) / math.Sqrt(float64(len(y)))
	return nil
}

// set collects the lines of one group in the order of their first point.
type set struct {
	command string
	slopes  []*Slope
}

// add adds a point to a line. The units of its first point count.
func (s *set) add(name, xUnit, yUnit string, x, y float64) {
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

// print fits the lines and writes each as one line of JSON.
func (s *set) print(out io.Writer) error {
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
