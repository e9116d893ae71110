package loommeasure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
)

// point is one measurement: the value y at the size x.
type point struct{ x, y float64 }

// line is a fitted line and its largest distance from a point.
type line struct{ intercept, slope, deviation float64 }

// fit returns the line with the least squares of the distances from the points.
func fit(points []point) line {
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / float64(len(points))
		meanY += p.y / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.x - meanX) * (p.y - meanY)
		variance += (p.x - meanX) * (p.x - meanX)
	}
	var l line
	if variance > 0 {
		l.slope = covariance / variance
	}
	l.intercept = meanY - l.slope*meanX
	for _, p := range points {
		l.deviation = max(l.deviation, math.Abs(p.y-l.at(p.x)))
	}
	return l
}

// at returns the value of the line at a size.
func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// capacityMeasure is a quantity that is measured at several sizes.
type capacityMeasure struct {
	name string
	// unit is that of the value, per that of the size.
	unit, per string
	// sizes are those measured, design is the size at the design scale; zero if it stands for no size of its own.
	sizes  []int
	design float64
	run    func(size int) (float64, error)
}

// capacityMeasures returns the measures of the slopes in docs/CAPACITY.md.
func capacityMeasures() []capacityMeasure {
	return append(append(stateMeasures(), spreadMeasures()...), wireMeasures()...)
}

// slope is the result of one capacity measure.
type slope struct {
	Name      string    `json:"name"`
	Unit      string    `json:"unit"`
	Per       string    `json:"per"`
	Sizes     []int     `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	Deviation float64   `json:"largest_deviation"`
	Design    float64   `json:"design_size"`
	AtDesign  float64   `json:"at_design_size"`
}

// measure runs the measure at all its sizes and fits a line.
func (m capacityMeasure) measure() (slope, error) {
	s := slope{Name: m.name, Unit: m.unit, Per: m.per, Sizes: m.sizes, Design: m.design}
	var points []point
	for _, size := range m.sizes {
		y, err := m.run(size)
		if err != nil {
			return slope{}, fmt.Errorf("%s at size %d: %w", m.name, size, err)
		}
		s.Values = append(s.Values, y)
		points = append(points, point{float64(size), y})
	}
	l := fit(points)
	s.Intercept, s.Slope, s.Deviation = l.intercept, l.slope, l.deviation
	if m.design > 0 {
		s.AtDesign = l.at(m.design)
	}
	return s, nil
}

// RunCapacity measures what one node needs in memory, processor time and control traffic at several sizes, and writes
// a line for each quantity. Processor time differs from run to run; the rest is repeatable.
func RunCapacity(w io.Writer, options Options) error {
	var slopes []slope
	for _, m := range capacityMeasures() {
		s, err := m.measure()
		if err != nil {
			return err
		}
		slopes = append(slopes, s)
	}
	if options.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(slopes)
	}
	return writeSlopes(w, slopes)
}

func writeSlopes(w io.Writer, slopes []slope) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%-78s %-18s %-8s %12s %12s %10s %18s\n",
		"quantity", "sizes", "unit", "intercept", "slope", "deviation", "at design size")
	for _, s := range slopes {
		atDesign := "-"
		if s.Design > 0 {
			atDesign = fmt.Sprintf("%.5g (%.5g)", s.AtDesign, s.Design)
		}
		fmt.Fprintf(&b, "%-78s %-18s %-8s %12.5g %12.5g %10.3g %18s\n", s.Name+" per "+s.Per,
			fmt.Sprint(s.Sizes), s.Unit, s.Intercept, s.Slope, s.Deviation, atDesign)
	}
	_, err := w.Write(b.Bytes())
	return err
}
