package slopes

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong fit, output that lacks a field that docs/CAPACITY.md uses, and fits through fewer than minPoints
// distinct sizes.
func TestPrint(t *testing.T) {
	for _, c := range []struct {
		name   string
		points [][2]float64
		want   string
		err    string
	}{
		{
			"exact line", [][2]float64{{0, 1}, {1, 3}, {2, 5}},
			`{"slope":"a","x_unit":"tasks","y_unit":"MB","points":[[0,1],[1,3],[2,5]],"fit":{"intercept":1,"slope":2},` +
				`"residual":0,"command":"make slopes"}` + "\n", "",
		},
		{
			"line with residual", [][2]float64{{0, 3}, {1, 1}, {2, 1}, {3, 3}},
			`{"slope":"a","x_unit":"tasks","y_unit":"MB","points":[[0,3],[1,1],[2,1],[3,3]],"fit":{"intercept":2,"slope":0},` +
				`"residual":1,"command":"make slopes"}` + "\n", "",
		},
		{"two sizes", [][2]float64{{0, 1}, {1, 3}}, "", "measure at least 3 sizes"},
		{"one size", [][2]float64{{1, 1}, {1, 3}, {1, 2}}, "", "measure at least 3 sizes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := slopeSet{command: "make slopes"}
			for _, p := range c.points {
				s.add("a", "tasks", "MB", p[0], p[1])
			}
			var out bytes.Buffer
			err := s.print(&out)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, out.String(), c.want)
		})
	}
}
