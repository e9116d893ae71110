package loommeasure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
)

// point is a measurement: the value y at the size x.
type point struct{ x, y float64 }

// linearFit is a fitted line. deviation is the largest vertical distance of a point from it.
type linearFit struct{ intercept, slope, deviation float64 }

// fitLine returns the least-squares line through the points.
func fitLine(points []point) linearFit {
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
	var fit linearFit
	if variance > 0 {
		fit.slope = covariance / variance
	}
	fit.intercept = meanY - fit.slope*meanX
	for _, p := range points {
		fit.deviation = max(fit.deviation, math.Abs(p.y-fit.valueAt(p.x)))
	}
	return fit
}

// valueAt returns the value of the line at a size.
func (fit linearFit) valueAt(x float64) float64 { return fit.intercept + fit.slope*x }

// capacityMeasure is a quantity that is measured at several sizes.
type capacityMeasure struct {
	name string
	// unit is the unit of the value, sizeUnit that of the size.
	unit, sizeUnit string
	// sizes are the measured sizes. designSize is the size at the design scale; zero if the design sets none.
	sizes      []int
	designSize float64
	run        func(size int) (float64, error)
}

// capacityMeasures returns the measures whose results docs/CAPACITY.md lists.
func capacityMeasures() []capacityMeasure {
	return append(append(stateMeasures(), propagationMeasures()...), networkMeasures()...)
}

// capacityResult is the result of one capacity measure.
type capacityResult struct {
	Name             string    `json:"name"`
	Unit             string    `json:"unit"`
	SizeUnit         string    `json:"per"`
	Sizes            []int     `json:"sizes"`
	Values           []float64 `json:"values"`
	Intercept        float64   `json:"intercept"`
	Slope            float64   `json:"slope"`
	LargestDeviation float64   `json:"largest_deviation"`
	DesignSize       float64   `json:"design_size"`
	ValueAtDesign    float64   `json:"at_design_size"`
}

// measure runs the measure at all its sizes and fits a line to the values.
func (m capacityMeasure) measure() (capacityResult, error) {
	result := capacityResult{Name: m.name, Unit: m.unit, SizeUnit: m.sizeUnit, Sizes: m.sizes, DesignSize: m.designSize}
	var points []point
	for _, size := range m.sizes {
		y, err := m.run(size)
		if err != nil {
			return capacityResult{}, fmt.Errorf("%s at size %d: %w", m.name, size, err)
		}
		result.Values = append(result.Values, y)
		points = append(points, point{float64(size), y})
	}
	fit := fitLine(points)
	result.Intercept, result.Slope, result.LargestDeviation = fit.intercept, fit.slope, fit.deviation
	if m.designSize > 0 {
		result.ValueAtDesign = fit.valueAt(m.designSize)
	}
	return result, nil
}

// RunCapacity measures the memory, processor time and control traffic that one node needs at several sizes, and writes
// the fitted line of each quantity. Processor time differs from run to run; the rest is repeatable.
func RunCapacity(w io.Writer, options Options) error {
	var results []capacityResult
	for _, m := range capacityMeasures() {
		result, err := m.measure()
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if options.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return writeCapacityTable(w, results)
}

func writeCapacityTable(w io.Writer, results []capacityResult) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%-78s %-18s %-8s %12s %12s %10s %18s\n",
		"quantity", "sizes", "unit", "intercept", "slope", "deviation", "at design size")
	for _, result := range results {
		atDesign := "-"
		if result.DesignSize > 0 {
			atDesign = fmt.Sprintf("%.5g (%.5g)", result.ValueAtDesign, result.DesignSize)
		}
		fmt.Fprintf(&b, "%-78s %-18s %-8s %12.5g %12.5g %10.3g %18s\n", result.Name+" per "+result.SizeUnit,
			fmt.Sprint(result.Sizes), result.Unit, result.Intercept, result.Slope, result.LargestDeviation, atDesign)
	}
	_, err := w.Write(b.Bytes())
	return err
}
